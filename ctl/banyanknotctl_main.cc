#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "banyanknot/protocol/catalogue_codec.h"
#include "command_line.h"
#include "http_host_client.h"
#include "platform/routes_document_reader.h"

DEFINE_bool(json, false, "print logs as JSON");
DEFINE_string(from, "", "take log lines of this time and later, in UTC");
DEFINE_string(until, "", "take log lines before this time, in UTC");

int main(int argc, char** argv) {
  const banyanknot::protocol::CatalogueCodec codec;
  const banyanknot::platform::RoutesDocumentReader routes_reader;
  banyanknot::ctl::HttpHostClient client;
  gflags::SetVersionString(BANYANKNOT_VERSION);
  // The log options are flags, unknown until the command line is parsed; the
  // help text doesn't depend on them.
  gflags::SetUsageMessage(
      banyanknot::ctl::CommandLine(codec, routes_reader, client, {}).Help());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  banyanknot::ctl::CommandLine commands(codec, routes_reader, client,
                                        {FLAGS_json, FLAGS_from, FLAGS_until});
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(commands.Run(words, std::cout, std::cerr));
}
