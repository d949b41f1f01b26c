#include "banyanknot/coordination/fleet/text_splices.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kBlockBytes = 32;
constexpr std::uint64_t kHashBase = 0x100000001b3ULL;

std::size_t CommonPrefix(std::string_view left, std::string_view right) {
  const std::size_t size = std::min(left.size(), right.size());
  std::size_t length = 0;
  while (length < size && left[length] == right[length]) ++length;
  return length;
}

std::size_t CommonSuffix(std::string_view left, std::string_view right) {
  const std::size_t size = std::min(left.size(), right.size());
  std::size_t length = 0;
  while (length < size &&
         left[left.size() - 1 - length] == right[right.size() - 1 - length]) {
    ++length;
  }
  return length;
}

/// Rolling polynomial hash of a window of kBlockBytes.
class RollingHash {
 public:
  explicit RollingHash(std::string_view window) {
    for (std::size_t index = 1; index < kBlockBytes; ++index) {
      this->first_weight *= kHashBase;
    }
    for (const char byte : window) this->Append(byte);
  }

  void Roll(char leaving, char entering) {
    this->value -= Number(leaving) * this->first_weight;
    this->Append(entering);
  }

  std::uint64_t Value() const { return this->value; }

 private:
  static std::uint64_t Number(char byte) {
    return static_cast<unsigned char>(byte) + 1U;
  }
  void Append(char byte) {
    this->value = this->value * kHashBase + Number(byte);
  }

  std::uint64_t first_weight = 1;
  std::uint64_t value = 0;
};

/// Offset of each block of a text, by hash.
using BlockIndex = std::unordered_map<std::uint64_t, std::size_t>;

constexpr std::size_t kRepeated = std::string_view::npos;

/// Indexes blocks. One that occurs more than once gives no unique position and
/// is marked kRepeated.
BlockIndex IndexBlocks(std::string_view text) {
  BlockIndex index;
  for (std::size_t offset = 0; offset + kBlockBytes <= text.size();
       offset += kBlockBytes) {
    const std::uint64_t hash =
        RollingHash(text.substr(offset, kBlockBytes)).Value();
    const bool is_new = index.emplace(hash, offset).second;
    if (!is_new) index[hash] = kRepeated;
  }
  return index;
}

/// A range common to both texts; offsets and length in bytes.
struct Match {
  std::size_t base = 0;
  std::size_t target = 0;
  std::size_t length = 0;
};

/// Finds common ranges that occur in the same order in both texts.
class Matcher {
 public:
  Matcher(std::string_view base, std::string_view target)
      : base(base), target(target), index(IndexBlocks(base)) {}

  std::vector<Match> Run() {
    std::vector<Match> matches;
    std::size_t position = 0;
    while (position + kBlockBytes <= this->target.size()) {
      RollingHash hash(this->target.substr(position, kBlockBytes));
      std::optional<Match> match;
      for (; !match; ++position) {
        match = this->MatchAt(position, hash.Value());
        if (match || position + kBlockBytes >= this->target.size()) break;
        hash.Roll(this->target[position], this->target[position + kBlockBytes]);
      }
      if (!match) break;
      matches.push_back(*match);
      this->base_done = match->base + match->length;
      this->target_done = match->target + match->length;
      position = this->target_done;
    }
    return matches;
  }

 private:
  std::optional<Match> MatchAt(std::size_t position, std::uint64_t hash) const {
    const std::size_t straight =
        this->base_done + (position - this->target_done);
    if (this->IsEqualBlock(straight, position)) {
      return this->Extend(straight, position);
    }
    const auto found = this->index.find(hash);
    if (found == this->index.end()) return std::nullopt;
    const std::size_t offset = found->second;
    if (offset == kRepeated || offset < this->base_done) return std::nullopt;
    if (!this->IsEqualBlock(offset, position)) return std::nullopt;
    return this->Extend(offset, position);
  }

  bool IsEqualBlock(std::size_t base_at, std::size_t target_at) const {
    return base_at + kBlockBytes <= this->base.size() &&
           this->base.substr(base_at, kBlockBytes) ==
               this->target.substr(target_at, kBlockBytes);
  }

  Match Extend(std::size_t base_at, std::size_t target_at) const {
    const std::size_t back = CommonSuffix(
        this->base.substr(this->base_done, base_at - base_done),
        this->target.substr(this->target_done, target_at - this->target_done));
    const std::size_t forward = CommonPrefix(this->base.substr(base_at),
                                             this->target.substr(target_at));
    return {base_at - back, target_at - back, back + forward};
  }

  const std::string_view base;
  const std::string_view target;
  const BlockIndex index;
  std::size_t base_done = 0;    // bytes before it are matched or removed
  std::size_t target_done = 0;  // bytes before it are matched or inserted
};

}  // namespace

std::vector<TextSplice> FindSplices(const std::string& base,
                                    const std::string& target) {
  const std::size_t prefix = CommonPrefix(base, target);
  const std::size_t suffix =
      CommonSuffix(std::string_view(base).substr(prefix),
                   std::string_view(target).substr(prefix));
  const std::string_view base_middle =
      std::string_view(base).substr(prefix, base.size() - prefix - suffix);
  const std::string_view target_middle =
      std::string_view(target).substr(prefix, target.size() - prefix - suffix);
  std::vector<Match> matches = Matcher(base_middle, target_middle).Run();
  matches.push_back({base_middle.size(), target_middle.size(), 0});
  std::vector<TextSplice> splices;
  std::size_t base_done = 0;
  std::size_t target_done = 0;
  for (const Match& match : matches) {
    if (match.base > base_done || match.target > target_done) {
      splices.push_back({static_cast<std::uint32_t>(prefix + base_done),
                         static_cast<std::uint32_t>(match.base - base_done),
                         std::string(target_middle.substr(
                             target_done, match.target - target_done))});
    }
    base_done = match.base + match.length;
    target_done = match.target + match.length;
  }
  return splices;
}

std::optional<std::string> ApplySplices(
    const std::string& base, const std::vector<TextSplice>& splices) {
  std::string text;
  std::size_t done = 0;
  for (const TextSplice& splice : splices) {
    if (splice.offset < done || splice.offset > base.size()) {
      return std::nullopt;
    }
    if (splice.removed > base.size() - splice.offset) return std::nullopt;
    text.append(base, done, splice.offset - done);
    text += splice.inserted;
    done = static_cast<std::size_t>(splice.offset) + splice.removed;
  }
  text.append(base, done, std::string::npos);
  return text;
}

}  // namespace banyanknot::coordination
