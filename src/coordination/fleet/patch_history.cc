#include "banyanknot/coordination/fleet/patch_history.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/fleet/text_splices.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxBytesPerEntry = 32u << 10;
constexpr std::size_t kMaxPatchesPerEntry = 16;
constexpr std::size_t kPatchOverheadBytes = 48;
constexpr std::size_t kSpliceOverheadBytes = 16;

EntryPatch ChangePatch(const CatalogueChange& change) {
  EntryPatch patch;
  patch.key = change.current.key;
  patch.revision = change.current.revision;
  patch.content_hash = change.current.content_hash;
  patch.base_revision = change.replaced.revision;
  patch.base_hash = change.replaced.content_hash;
  patch.splices = FindSplices(*change.replaced.text, *change.current.text);
  return patch;
}

void EvictOldest(std::vector<EntryPatch>& patches) {
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < patches.size() && kept < kMaxPatchesPerEntry) {
    bytes += SizeOf(patches[patches.size() - 1 - kept]);
    if (bytes > kMaxBytesPerEntry) break;
    ++kept;
  }
  patches.erase(patches.begin(),
                patches.end() - static_cast<std::ptrdiff_t>(kept));
}

}  // namespace

EntryPatch WholePatch(const state::CatalogueRecord& record) {
  EntryPatch patch;
  patch.key = record.key;
  patch.revision = record.revision;
  patch.content_hash = record.content_hash;
  patch.deleted = record.IsTombstone();
  if (!patch.deleted) patch.text = *record.text;
  return patch;
}

std::size_t SizeOf(const EntryPatch& patch) {
  std::size_t bytes =
      kPatchOverheadBytes + patch.key.size() + patch.text.size();
  for (const TextSplice& splice : patch.splices) {
    bytes += kSpliceOverheadBytes + splice.inserted.size();
  }
  return bytes;
}

void PatchHistory::Record(const CatalogueChange& change) {
  if (change.replaced.revision == 0 || change.replaced.IsTombstone() ||
      change.current.IsTombstone()) {
    return;
  }
  EntryPatch patch = ChangePatch(change);
  if (SizeOf(patch) > change.current.text->size()) return;
  this->patches.Update(change.current.key,
                       [&patch](std::vector<EntryPatch>& kept) {
                         kept.push_back(std::move(patch));
                         EvictOldest(kept);
                       });
}

std::vector<EntryPatch> PatchHistory::PatchesTo(
    const state::CatalogueRecord& current,
    const state::EntryVersion& have) const {
  if (current.IsTombstone() || have.revision == 0) return {WholePatch(current)};
  const std::vector<EntryPatch> kept =
      this->patches.Find(current.key).value_or(std::vector<EntryPatch>());
  std::vector<EntryPatch> chain;
  std::uint64_t revision = have.revision;
  std::uint64_t hash = have.content_hash;
  while (revision != current.revision || hash != current.content_hash) {
    const auto next = std::find_if(
        kept.begin(), kept.end(), [revision, hash](const EntryPatch& patch) {
          return patch.base_revision == revision && patch.base_hash == hash;
        });
    if (next == kept.end() || chain.size() > kMaxPatchesPerEntry) {
      return {WholePatch(current)};
    }
    chain.push_back(*next);
    revision = next->revision;
    hash = next->content_hash;
  }
  return chain;
}

}  // namespace banyanknot::coordination
