#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "platform/fuzz/fuzz_targets.h"

namespace banyanknot::fuzz {
namespace {

// Bounds the time in CI; longer runs are those of the fuzzers.
constexpr int kRounds = 4'000;
constexpr std::size_t kMaxBytes = 4'096;

const char* const kTokens[] = {"1e300",
                               "-1e300",
                               "18446744073709551616",
                               "9223372036854775807",
                               "-1",
                               "0.5",
                               "null",
                               "[[[[[[[[",
                               "{\"a\":",
                               "\r\n",
                               "\\ud800",
                               ";a=",
                               "\x80",
                               ":65536",
                               "nan",
                               "inf"};

/// Changes a few places of `bytes`: single bytes, lengths, whole tokens.
std::string Mutate(std::string bytes, std::mt19937_64& engine) {
  const int changes = 1 + static_cast<int>(engine() % 6);
  for (int change = 0; change < changes; ++change) {
    const std::size_t at = bytes.empty() ? 0 : engine() % bytes.size();
    switch (engine() % 5) {
      case 0:
        if (!bytes.empty()) bytes[at] = static_cast<char>(engine());
        break;
      case 1:
        bytes.erase(at, engine() % 16);
        break;
      case 2:
        bytes.insert(at, kTokens[engine() % std::size(kTokens)]);
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, engine() % 64));
        break;
      default:
        bytes.resize(std::min(kMaxBytes, at + engine() % 8));
        break;
    }
  }
  bytes.resize(std::min(bytes.size(), kMaxBytes));
  return bytes;
}

TEST_CASE("Decoders of bytes from outside survive seeded mutations") {
  for (const FuzzTarget& target : AllTargets()) {
    std::mt19937_64 engine(20'261'205);
    std::string bytes;
    for (int round = 0; round < kRounds; ++round) {
      const std::string& example =
          target.examples[engine() % target.examples.size()];
      // Every fourth round builds on the bytes of the one before.
      bytes = Mutate(round % 4 == 0 ? bytes : example, engine);
      target.run(bytes);
    }
    target.run(std::string());
  }
  SUCCEED();
}

}  // namespace
}  // namespace banyanknot::fuzz
