#ifndef BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_LINE_ENTRY_DECODER_H_
#define BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_LINE_ENTRY_DECODER_H_

#include <string>

#include "banyanknot/coordination/entry_decoder.h"

namespace banyanknot::coordination::fleet_testing {

/// \brief Decodes each entry as a failure domain, so that tests need no codec.
///
/// A text starting with `out` gives state kOut, one starting with `bad` is
/// refused, any other gives kIn.
class LineEntryDecoder : public EntryDecoder {
 public:
  EntryResult Decode(const std::string& key,
                     const std::string& text) const override {
    if (text.rfind("bad", 0) == 0) {
      return std::vector<EntryFault>{{"", "is bad"}};
    }
    state::FailureDomainEntry domain;
    domain.id = state::FailureDomainId(key.substr(key.find('/') + 1));
    domain.owner = "operators";
    domain.domain_state = text.rfind("out", 0) == 0 ? state::DomainState::kOut
                                                    : state::DomainState::kIn;
    return state::CatalogueContent(domain);
  }
};

}  // namespace banyanknot::coordination::fleet_testing

#endif  // BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_LINE_ENTRY_DECODER_H_
