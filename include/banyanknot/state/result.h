#ifndef BANYANKNOT_STATE_RESULT_H_
#define BANYANKNOT_STATE_RESULT_H_

#include <utility>
#include <variant>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::state {

/// \brief A value or an error.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// \brief Returns whether a result holds a value.
template <typename Value, typename Error>
bool IsOk(const Result<Value, Error>& result) {
  return result.index() == 0;
}

/// \brief Returns the value of a result.
/// \pre IsOk(result)
template <typename Value, typename Error>
const Value& ValueOf(const Result<Value, Error>& result) {
  BANYANKNOT_ASSERT(IsOk(result), "check IsOk() before reading the value");
  return std::get<0>(result);
}

/// \brief Moves the value out of a result.
/// \pre IsOk(result)
template <typename Value, typename Error>
Value TakeValue(Result<Value, Error>&& result) {
  BANYANKNOT_ASSERT(IsOk(result), "check IsOk() before taking the value");
  return std::move(std::get<0>(result));
}

/// \brief Returns the error of a result.
/// \pre !IsOk(result)
template <typename Value, typename Error>
const Error& ErrorOf(const Result<Value, Error>& result) {
  BANYANKNOT_ASSERT(!IsOk(result), "check IsOk() before reading the error");
  return std::get<1>(result);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_RESULT_H_
