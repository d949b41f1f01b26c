#ifndef BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_

#include <string>
#include <string_view>

namespace banyanknot::coordination {

/// \brief Makes one answer of the bodies of several shards' replies.
class RecordMerger {
 public:
  virtual ~RecordMerger() = default;
  virtual void Add(std::string_view body) = 0;
  /// \brief The merged body of all that was added.
  virtual std::string Merged() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RECORD_MERGER_H_
