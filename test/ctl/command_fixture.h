#ifndef BANYANKNOT_TEST_CTL_COMMAND_FIXTURE_H_
#define BANYANKNOT_TEST_CTL_COMMAND_FIXTURE_H_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "banyanknot/protocol/catalogue_codec.h"
#include "command_line.h"
#include "stand_in_routes_reader.h"

namespace banyanknot::ctl {

/// \brief Answers every request with a canned response.
class CannedHostClient : public HostClient {
 public:
  FetchResult Fetch(const state::Endpoint& host,
                    const protocol::HttpRequest& request,
                    state::Duration /*timeout*/) override {
    this->hosts.push_back(host);
    this->requests.push_back(request);
    return this->result;
  }

  FetchResult result = protocol::HttpResponse{200, "{}"};
  std::vector<state::Endpoint> hosts;
  std::vector<protocol::HttpRequest> requests;
};

/// \brief A temporary file, removed by the destructor.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char pattern[] = "/tmp/banyanknotctl-XXXXXX";
    const int descriptor = mkstemp(pattern);
    REQUIRE(descriptor >= 0);
    close(descriptor);
    this->path = pattern;
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }

  std::string path;
};

/// \brief Exit status and output of a command.
struct RunResult {
  ExitStatus status;
  std::string out;
  std::string err;
};

/// \brief Runs a command line against `client`.
inline RunResult RunWords(HostClient& client,
                          const std::vector<std::string>& words,
                          const LogOptions& log_options = {}) {
  const protocol::CatalogueCodec codec;
  const StandInRoutesReader routes_reader;
  CommandLine commands(codec, routes_reader, client, log_options);
  std::ostringstream out;
  std::ostringstream err;
  const ExitStatus status = commands.Run(words, out, err);
  return {status, out.str(), err.str()};
}

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_TEST_CTL_COMMAND_FIXTURE_H_
