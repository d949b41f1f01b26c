#ifndef BANYANKNOT_TEST_COORDINATION_DELEGATION_PUBLISHED_LOG_H_
#define BANYANKNOT_TEST_COORDINATION_DELEGATION_PUBLISHED_LOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"

namespace banyanknot::coordination::routing_testing {

/// \brief What the source has published, with all of its past.
class PublishedLog {
 public:
  using Content = std::map<std::string, std::string>;  // text by key

  explicit PublishedLog(const Clock& clock) : clock(clock) {
    this->Set(DomainKey(this->Next()), "out");
  }

  /// \brief Returns a key that names the position of its only change.
  static std::string DomainKey(const state::SourcePosition& position) {
    return "domain" + std::to_string(position.revision) + "-" +
           std::to_string(position.era);
  }
  state::SourcePosition Next() const {
    return {this->position.revision + 1, this->position.era};
  }

  void Set(const std::string& key, const std::string& text) {
    this->content[key] = text;
    this->Append({key, text, false, 0});
  }
  void Remove(const std::string& key) {
    if (this->content.erase(key) > 0) this->Append({key, "", true, 0});
  }
  /// \brief Returns from a copy that was taken at a revision of this era.
  void ReturnFromCopy(std::uint64_t copied) {
    this->content = this->contents.at({copied, this->position.era});
    while (!this->changes.empty() && this->changes.back().revision > copied) {
      this->changes.pop_back();
    }
    this->position = {copied, this->position.era + 1};
    this->Keep();
  }
  void DropHistory() { this->oldest_revision = this->position.revision; }

  state::SourcePosition Position() const { return this->position; }
  std::uint64_t OldestRevision() const { return this->oldest_revision; }
  const std::vector<EncodedChange>& Changes() const { return this->changes; }
  const Content& Current() const { return this->content; }
  /// \brief Returns what was published at a position; null if there never was
  /// such a position.
  const Content* At(const state::SourcePosition& at) const {
    const auto found = this->contents.find(at);
    return found == this->contents.end() ? nullptr : &found->second;
  }
  state::SourcePosition PositionAt(state::TimePoint time) const {
    return std::prev(this->positions.upper_bound(time))->second;
  }

 private:
  void Append(EncodedChange change) {
    change.revision = ++this->position.revision;
    this->changes.push_back(std::move(change));
    this->Keep();
  }
  void Keep() {
    this->contents[this->position] = this->content;
    this->positions[this->clock.Now()] = this->position;
  }

  const Clock& clock;
  state::SourcePosition position;
  std::uint64_t oldest_revision = 0;   // changes after it are known
  std::vector<EncodedChange> changes;  // of the present content's past
  Content content;
  std::map<state::SourcePosition, Content> contents;
  std::map<state::TimePoint, state::SourcePosition> positions{
      {state::TimePoint::min(), {}}};
};

/// \brief Reads the texts of a PublishedLog by their keys: "routes" holds a
/// version, "server/ID" a state, any other key is a domain out of service.
class LogDecoder : public ChangeDecoder {
 public:
  static constexpr const char* kRoutesKey = "routes";
  static constexpr const char* kServerPrefix = "server/";
  static constexpr const char* kLeaving = "leaving";

  std::optional<RoutingChange> Decode(
      const EncodedChange& change) const override {
    const std::string prefix = kServerPrefix;
    if (change.key == kRoutesKey) {
      return std::make_shared<const state::RouteTable>(
          std::stoull(change.text), std::vector<state::Route>(),
          std::vector<state::ServiceSpec>(), state::CallerLimits());
    }
    if (change.key.compare(0, prefix.size(), prefix) != 0) {
      return DomainStateChange{state::FailureDomainId(change.key),
                               !change.is_removal};
    }
    const state::InstanceId id(change.key.substr(prefix.size()));
    if (change.is_removal) return ServerRemoval{id};
    state::RegisteredServer server;
    server.id = id;
    server.service = state::ServiceId("desk");
    server.endpoint = {"10.0.0.1", 80};
    server.domain = state::FailureDomainId("a");
    server.slots = 2;
    server.is_leaving = change.text == kLeaving;
    return server;
  }
};

}  // namespace banyanknot::coordination::routing_testing

#endif  // BANYANKNOT_TEST_COORDINATION_DELEGATION_PUBLISHED_LOG_H_
