#include "banyanknot/coordination/routing/split_chooser.h"

#include <cstddef>

namespace banyanknot::coordination {

state::ServiceId SplitChooser::Choose(const state::Route& route) {
  if (route.split.size() == 1) return route.split.front().service;
  return this->credits.Update(
      route.name, [&route](std::vector<double>& credit) {
        if (credit.size() != route.split.size()) {
          credit.assign(route.split.size(), 0);
        }
        double total = 0;
        std::size_t best = 0;
        for (std::size_t index = 0; index < route.split.size(); ++index) {
          credit[index] += route.split[index].weight;
          total += route.split[index].weight;
          if (credit[index] > credit[best]) best = index;
        }
        credit[best] -= total;
        return route.split[best].service;
      });
}

}  // namespace banyanknot::coordination
