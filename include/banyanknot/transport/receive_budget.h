#ifndef BANYANKNOT_TRANSPORT_RECEIVE_BUDGET_H_
#define BANYANKNOT_TRANSPORT_RECEIVE_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace banyanknot::transport {

/// \brief Limits the bytes that all connections of a process hold for responses
/// that are still being received.
///
/// Thread-safe.
class ReceiveBudget {
 public:
  explicit ReceiveBudget(std::size_t max_bytes) : max_bytes(max_bytes) {}

  /// \returns false if the bytes would exceed the limit
  bool TryReserve(std::size_t bytes) {
    std::size_t held = this->reserved;
    do {
      if (bytes > this->max_bytes || held > this->max_bytes - bytes) {
        ++this->refusals;
        return false;
      }
    } while (!this->reserved.compare_exchange_weak(held, held + bytes));
    return true;
  }
  void Release(std::size_t bytes) { this->reserved -= bytes; }

  std::size_t Reserved() const { return this->reserved; }
  /// \brief Returns how many reservations were refused since the start.
  std::size_t Refusals() const { return this->refusals; }

 private:
  const std::size_t max_bytes;
  std::atomic<std::size_t> reserved{0};
  std::atomic<std::size_t> refusals{0};
};

/// \brief The share of one response in a ReceiveBudget, released at the end of
/// its lifetime. Not thread-safe.
class ReceiveReservation {
 public:
  /// \param budget null for no limit
  explicit ReceiveReservation(std::shared_ptr<ReceiveBudget> budget)
      : budget(std::move(budget)) {}
  ~ReceiveReservation() { this->Clear(); }

  ReceiveReservation(const ReceiveReservation&) = delete;
  ReceiveReservation& operator=(const ReceiveReservation&) = delete;

  /// \brief Reserves what is missing to `bytes`.
  /// \returns false if the budget doesn't allow it
  bool TryGrowTo(std::size_t bytes) {
    if (this->budget == nullptr || bytes <= this->held) return true;
    if (!this->budget->TryReserve(bytes - this->held)) return false;
    this->held = bytes;
    return true;
  }
  void Clear() {
    if (this->budget != nullptr) this->budget->Release(this->held);
    this->held = 0;
  }

 private:
  const std::shared_ptr<ReceiveBudget> budget;
  std::size_t held = 0;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_RECEIVE_BUDGET_H_
