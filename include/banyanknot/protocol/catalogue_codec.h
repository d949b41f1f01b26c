#ifndef BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_
#define BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_

#include <string>

#include "banyanknot/coordination/entry_decoder.h"

namespace banyanknot::protocol {

/// \brief Reads catalogue entries written as JSON.
///
/// Thread-safe and pure: the same key and text give the same result on every
/// host. The key's first part tells the kind of entry: `service/ID`,
/// `domain/ID` or `fleet`.
class CatalogueCodec : public coordination::EntryDecoder {
 public:
  coordination::EntryResult Decode(const std::string& key,
                                   const std::string& text) const override;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_CATALOGUE_CODEC_H_
