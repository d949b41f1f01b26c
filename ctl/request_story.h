#ifndef BANYANKNOT_CTL_REQUEST_STORY_H_
#define BANYANKNOT_CTL_REQUEST_STORY_H_

#include <string>
#include <string_view>
#include <vector>

#include "log_line.h"

namespace banyanknot::ctl {

/// \brief What the logs say of one request.
struct RequestStory {
  /// The request's own lines and those that explain them, by time.
  std::vector<LogLine> lines;
  /// What the way it ended means, a sentence for each line of its own.
  std::vector<std::string> readings;
};

/// \brief Gathers the story of a request.
/// \param lines of all hosts, in the order of their times
/// \returns a story without lines if none names the request
RequestStory FindStory(std::string_view request,
                       const std::vector<LogLine>& lines);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_REQUEST_STORY_H_
