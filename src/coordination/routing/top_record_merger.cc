#include "banyanknot/coordination/routing/top_record_merger.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace banyanknot::coordination {

void TopRecordMerger::Add(std::string_view body) {
  for (std::size_t start = 0; start + kRecordBytes <= body.size();
       start += kRecordBytes) {
    Record record;
    std::memcpy(record.data(), body.data() + start, kRecordBytes);
    if (this->heap.size() == this->max_records) {
      if (this->max_records == 0 || record <= this->heap.front()) continue;
      std::pop_heap(this->heap.begin(), this->heap.end(), std::greater<>());
      this->heap.pop_back();
    }
    this->heap.push_back(record);
    std::push_heap(this->heap.begin(), this->heap.end(), std::greater<>());
  }
}

std::string TopRecordMerger::Merged() const {
  std::vector<Record> sorted = this->heap;
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  std::string body;
  body.reserve(sorted.size() * kRecordBytes);
  for (const Record& record : sorted) {
    body.append(reinterpret_cast<const char*>(record.data()), kRecordBytes);
  }
  return body;
}

}  // namespace banyanknot::coordination
