#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTES_DOCUMENT_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTES_DOCUMENT_H_

#include <memory>
#include <string>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/coordination/routing/route_place.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief Routes as an operator wrote them.
class RoutesDocument {
 public:
  virtual ~RoutesDocument() = default;
  virtual const state::RouteTable& Table() const = 0;
  /// \brief Returns the JSON pointer to a place of the table.
  virtual std::string PointerTo(const RoutePlace& place) const = 0;
};

using RoutesDocumentResult =
    state::Result<std::unique_ptr<RoutesDocument>, EntryFault>;

/// \brief Reads documents of routes as hosts do. Thread-safe.
class RoutesReader {
 public:
  virtual ~RoutesReader() = default;
  /// \returns the first fault of a document that hosts refuse
  virtual RoutesDocumentResult Read(const std::string& text) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTES_DOCUMENT_H_
