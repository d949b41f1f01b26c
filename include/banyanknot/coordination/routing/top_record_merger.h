#ifndef BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_
#define BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_

#include <array>
#include <cstddef>
#include <vector>

#include "banyanknot/coordination/routing/record_merger.h"

namespace banyanknot::coordination {

/// \brief Keeps the greatest records, compared byte by byte.
///
/// Records have 16 bytes; a shorter remainder is none. Equal records all
/// count.
class TopRecordMerger : public RecordMerger {
 public:
  static constexpr std::size_t kRecordBytes = 16;

  /// \param most records that are kept
  explicit TopRecordMerger(std::size_t max_records)
      : max_records(max_records) {}

  void Add(std::string_view body) override;
  std::string Merged() const override;

 private:
  using Record = std::array<unsigned char, kRecordBytes>;

  const std::size_t max_records;
  std::vector<Record> heap;  // the least record first
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_
