#ifndef BANYANKNOT_COORDINATION_ENTRY_DECODER_H_
#define BANYANKNOT_COORDINATION_ENTRY_DECODER_H_

#include <string>
#include <vector>

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/result.h"

namespace banyanknot::coordination {

/// \brief One fault of a catalogue entry.
struct EntryFault {
  std::string pointer;  ///< JSON pointer to the faulty value
  std::string reason;
};

using EntryResult =
    state::Result<state::CatalogueContent, std::vector<EntryFault>>;

/// \brief Decodes the text of a catalogue entry into its typed content.
///
/// A pure function of key and text: every host decides alike.
class EntryDecoder {
 public:
  virtual ~EntryDecoder() = default;
  virtual EntryResult Decode(const std::string& key,
                             const std::string& text) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ENTRY_DECODER_H_
