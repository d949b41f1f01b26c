#ifndef BANYANKNOT_STANDINS_ANSWER_CHECKER_H_
#define BANYANKNOT_STANDINS_ANSWER_CHECKER_H_

#include <array>
#include <string>
#include <string_view>

#include "banyanknot/state/enum_names.h"
#include "load_settings.h"

namespace banyanknot::standins {

/// \brief How one request of a load ended, as its caller sees it.
enum class Verdict {
  kAnswered,  ///< the whole answer that its class demands, and right
  kNotRun,    ///< refused as not run
  kUnknown,   ///< an outcome that says neither
  kWrong,     ///< an answer that is not what the stand-ins hold
  kCut,       ///< no answer came
};

/// \brief Names of Verdict, as they stand in reports.
inline constexpr std::array<state::EnumName<Verdict>, 5> kVerdictNames{{
    {Verdict::kAnswered, "answered"},
    {Verdict::kNotRun, "refused_not_run"},
    {Verdict::kUnknown, "unknown"},
    {Verdict::kWrong, "wrong"},
    {Verdict::kCut, "cut"},
}};

/// \brief What a check found.
struct CheckedAnswer {
  Verdict verdict = Verdict::kUnknown;
  double coverage = 0;    ///< said and proven
  std::string outcome;    ///< and its reason, as the host said them
  std::string complaint;  ///< what is wrong; empty unless kWrong
};

/// \brief Checks the body of an answer against what the stand-ins hold.
///
/// One snapshot for all records, exactly the records of the ranges that are
/// not missing, and a coverage that matches those.
CheckedAnswer CheckAnswer(const LoadItem& item, const std::string& body);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_ANSWER_CHECKER_H_
