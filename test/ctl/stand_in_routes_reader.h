#ifndef BANYANKNOT_TEST_CTL_STAND_IN_ROUTES_READER_H_
#define BANYANKNOT_TEST_CTL_STAND_IN_ROUTES_READER_H_

#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/coordination/routing/routes_document.h"

namespace banyanknot::ctl {

/// \brief Routes of which a place is shown as its item's index.
class StandInRoutesDocument : public coordination::RoutesDocument {
 public:
  StandInRoutesDocument(std::uint64_t version, std::vector<state::Route> routes)
      : table(version, std::move(routes), {{state::ServiceId("s")}}, {}) {}
  const state::RouteTable& Table() const override { return this->table; }
  std::string PointerTo(const coordination::RoutePlace& place) const override {
    return "/" + std::to_string(place.index);
  }

 private:
  const state::RouteTable table;
};

/// \brief Reads a version and the names of routes, all to one service.
class StandInRoutesReader : public coordination::RoutesReader {
 public:
  coordination::RoutesDocumentResult Read(
      const std::string& text) const override {
    std::vector<state::Route> routes;
    std::size_t end = text.find(' ');
    if (end == std::string::npos) {
      return coordination::EntryFault{"/version", "is missing"};
    }
    const std::uint64_t version =
        std::strtoull(text.substr(0, end).c_str(), nullptr, 10);
    while (end < text.size()) {
      const std::size_t begin = end + 1;
      end = std::min(text.find(' ', begin), text.size());
      state::Route route;
      route.name = text.substr(begin, end - begin);
      route.prefix = "/" + route.name + "/";
      route.split = {{state::ServiceId("s"), 1}};
      routes.push_back(std::move(route));
    }
    return std::make_unique<StandInRoutesDocument>(version, std::move(routes));
  }
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_TEST_CTL_STAND_IN_ROUTES_READER_H_
