#ifndef BANYANKNOT_STATE_UTIL_ASSERT_H_
#define BANYANKNOT_STATE_UTIL_ASSERT_H_

/// \file
/// \brief Precondition checks with a message for the caller.

namespace banyanknot::state::internal {

/// \brief Prints the failed precondition and aborts the process.
[[noreturn]] void FailPrecondition(const char* condition, const char* message,
                                   const char* file, int line);

}  // namespace banyanknot::state::internal

/// \brief Aborts with `message` when a precondition does not hold.
///
/// Also enabled in release builds: a broken precondition is a defect of the
/// calling code, never of the input.
#define BANYANKNOT_ASSERT(condition, message)                     \
  ((condition) ? static_cast<void>(0)                             \
               : ::banyanknot::state::internal::FailPrecondition( \
                     #condition, message, __FILE__, __LINE__))

#endif  // BANYANKNOT_STATE_UTIL_ASSERT_H_
