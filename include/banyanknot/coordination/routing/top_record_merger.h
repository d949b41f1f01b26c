#ifndef BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_
#define BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_

#include <array>
#include <cstddef>
#include <vector>

#include "banyanknot/coordination/routing/record_merger.h"

namespace banyanknot::coordination {

/// \brief Keeps the greatest records, in bytewise order.
///
/// Records have 16 bytes; a shorter remainder is ignored. Duplicates are kept.
/// Not thread-safe.
class TopRecordMerger : public RecordMerger {
 public:
  static constexpr std::size_t kRecordBytes = 16;

  /// \param max_records number of records to keep
  explicit TopRecordMerger(std::size_t max_records)
      : max_records(max_records) {}

  void Add(std::string_view body) override;
  std::string Merged() const override;

 private:
  using Record = std::array<unsigned char, kRecordBytes>;

  const std::size_t max_records;
  std::vector<Record> heap;  // min-heap
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_TOP_RECORD_MERGER_H_
