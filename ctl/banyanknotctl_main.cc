#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

#include "banyanknot/protocol/catalogue_codec.h"
#include "command_line.h"
#include "http_host_client.h"

int main(int argc, char** argv) {
  const banyanknot::protocol::CatalogueCodec codec;
  banyanknot::ctl::HttpHostClient client;
  banyanknot::ctl::CommandLine commands(codec, client);
  gflags::SetUsageMessage(commands.Help());
  gflags::SetVersionString(BANYANKNOT_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(commands.Run(words, std::cout, std::cerr));
}
