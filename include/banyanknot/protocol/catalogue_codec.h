#ifndef BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_
#define BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_

#include <string>

#include "banyanknot/coordination/entry_decoder.h"

namespace banyanknot::protocol {

/// \brief Decodes catalogue entries from JSON.
///
/// The key gives the kind of entry: `service/ID`, `domain/ID` or `fleet`. The
/// same key and text give the same result on every host. Thread-safe.
class CatalogueCodec : public coordination::EntryDecoder {
 public:
  coordination::EntryResult Decode(const std::string& key,
                                   const std::string& text) const override;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_
