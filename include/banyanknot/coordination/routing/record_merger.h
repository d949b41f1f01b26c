#ifndef BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_

#include <string>
#include <string_view>

namespace banyanknot::coordination {

/// \brief Merges the reply bodies of several shards into one.
class RecordMerger {
 public:
  virtual ~RecordMerger() = default;
  virtual void Add(std::string_view body) = 0;
  /// \brief Returns the merged body.
  virtual std::string Merged() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_
