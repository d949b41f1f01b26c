#include "answer_checker.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace banyanknot::standins {
namespace {

LoadItem MakeItem() {
  LoadItem item;
  item.service = "s";
  item.key_space = {0, 400};
  item.key_stride = 100;
  item.coverage_floor = 0.5;
  return item;
}

struct AnswerRow {
  const char* name;
  const char* body;
  Verdict verdict;
};

TEST_CASE("CheckAnswer tells right answers from wrong ones") {
  const std::vector<AnswerRow> rows = {
      {"whole",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":1.0,
           "missing":[],"records":[[0,"0@7"],[100,"100@7"],[200,"200@7"],
           [300,"300@7"]]})",
       Verdict::kAnswered},
      {"partial above the floor",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":0.75,
           "missing":[[100,200]],"records":[[0,"0@7"],[200,"200@7"],
           [300,"300@7"]]})",
       Verdict::kAnswered},
      {"partial below the floor",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":0.25,
           "missing":[[100,400]],"records":[[0,"0@7"]]})",
       Verdict::kWrong},
      {"mixed snapshots",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":1.0,
           "missing":[],"records":[[0,"0@7"],[100,"100@6"],[200,"200@7"],
           [300,"300@7"]]})",
       Verdict::kWrong},
      {"record left out",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":1.0,
           "missing":[],"records":[[0,"0@7"],[100,"100@7"],[200,"200@7"]]})",
       Verdict::kWrong},
      {"record twice",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":1.0,
           "missing":[],"records":[[0,"0@7"],[100,"100@7"],[100,"100@7"],
           [200,"200@7"],[300,"300@7"]]})",
       Verdict::kWrong},
      {"coverage overstated",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":1.0,
           "missing":[[100,200]],"records":[[0,"0@7"],[200,"200@7"],
           [300,"300@7"]]})",
       Verdict::kWrong},
      {"overlapping gaps",
       R"({"service":"s","outcome":"ok","snapshot":7,"coverage":0.5,
           "missing":[[100,300],[200,300]],"records":[[0,"0@7"],
           [300,"300@7"]]})",
       Verdict::kWrong},
      {"answer for another service", R"({"service":"t","outcome":"not_run"})",
       Verdict::kWrong},
      {"refused", R"({"service":"s","outcome":"not_run"})", Verdict::kNotRun},
      {"late", R"({"service":"s","outcome":"deadline"})", Verdict::kUnknown},
      {"wrong type", R"({"service":"s","outcome":3})", Verdict::kWrong},
      {"not JSON", "{", Verdict::kWrong},
  };
  for (const AnswerRow& row : rows) {
    INFO(row.name);
    const CheckedAnswer checked = CheckAnswer(MakeItem(), row.body);
    INFO(checked.complaint);
    CHECK(checked.verdict == row.verdict);
  }
}

}  // namespace
}  // namespace banyanknot::standins
