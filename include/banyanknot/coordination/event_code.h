#ifndef BANYANKNOT_COORDINATION_EVENT_CODE_H_
#define BANYANKNOT_COORDINATION_EVENT_CODE_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "banyanknot/coordination/log_severity.h"

namespace banyanknot::coordination {

/// \brief Events of the log; the catalogue in docs/EVENTS.md explains each.
///
/// The number of an event never changes and is never used for another.
enum class EventCode : std::uint32_t {
  kHostStarting = 1001,
  kHostListening = 1002,
  kHostReady = 1003,
  kHostStopping = 1004,
  kHostStopped = 1005,
  kHostStopForced = 1006,
  kListenFailed = 1007,
  kHandlerFailed = 1008,
  kEntryAccepted = 2001,
  kEntryRefused = 2002,
  kEntryDeleted = 2003,
  kEntryConflict = 2004,
  kDomainState = 3001,
  kServerPhase = 3002,
  kHostState = 3003,
  kHostLifecycle = 3004,
  kRequestAnswered = 4001,
  kRequestNotWhole = 4002,
  kDelegationFailed = 4003,
  kResponseMisplaced = 4004,
  kResponseMalformed = 4005,
  kRoutesInForce = 5001,
  kServerRegistered = 5002,
  kServerRemoved = 5003,
  kServerDoubted = 5004,
  kServerCleared = 5005,
  kSourceLost = 5006,
  kSourceRegained = 5007,
  kSourceEntryUnreadable = 5008,
  kReachLost = 5011,
  kReachRegained = 5012,
  kWatcherLeftOut = 5013,
  kQuotaAccountantChanged = 5014,
  kCallersGaveWay = 5015,
  kSourceEraChanged = 5016,
  kSettingsReloaded = 5009,
  kSettingsRefused = 5010,
};

/// \brief Static properties of an event.
struct EventDescription {
  EventCode code;
  std::string_view name;
  LogSeverity severity;
  std::string_view meaning;
};

/// \brief Every event, ordered by number.
inline constexpr std::array<EventDescription, 37> kEventDescriptions{{
    {EventCode::kHostStarting, "host_starting", LogSeverity::kInfo,
     "The process has read its settings and is starting."},
    {EventCode::kHostListening, "host_listening", LogSeverity::kInfo,
     "The host accepts connections on a port."},
    {EventCode::kHostReady, "host_ready", LogSeverity::kInfo,
     "The host has a catalogue in force and takes queries."},
    {EventCode::kHostStopping, "host_stopping", LogSeverity::kInfo,
     "A graceful shutdown has begun; the host is no longer ready."},
    {EventCode::kHostStopped, "host_stopped", LogSeverity::kInfo,
     "The host has finished all work and exits."},
    {EventCode::kHostStopForced, "host_stop_forced", LogSeverity::kError,
     "The shutdown ended with work left: timeout or second signal."},
    {EventCode::kListenFailed, "listen_failed", LogSeverity::kError,
     "Listening on a port failed; the process exits."},
    {EventCode::kHandlerFailed, "handler_failed", LogSeverity::kError,
     "An exception ended one event's handling; the process goes on."},
    {EventCode::kEntryAccepted, "entry_accepted", LogSeverity::kInfo,
     "A catalogue entry came into force on this host."},
    {EventCode::kEntryRefused, "entry_refused", LogSeverity::kWarning,
     "A catalogue entry was refused; the last valid one stays in force."},
    {EventCode::kEntryDeleted, "entry_deleted", LogSeverity::kInfo,
     "A catalogue entry was deleted on this host."},
    {EventCode::kEntryConflict, "entry_conflict", LogSeverity::kError,
     "Different contents arrived for one revision of a catalogue entry."},
    {EventCode::kDomainState, "domain_state", LogSeverity::kInfo,
     "A failure domain was taken out or put back in."},
    {EventCode::kServerPhase, "server_phase", LogSeverity::kInfo,
     "A backend server changed its phase, as observed by this host."},
    {EventCode::kHostState, "host_state", LogSeverity::kInfo,
     "Another host changed its state, as observed by this host."},
    {EventCode::kHostLifecycle, "host_lifecycle", LogSeverity::kInfo,
     "This host started, became ready or is stopping."},
    {EventCode::kRequestAnswered, "request_answered", LogSeverity::kInfo,
     "A request got a server's reply or a whole answer; sampled."},
    {EventCode::kRequestNotWhole, "request_not_whole", LogSeverity::kWarning,
     "A request got a partial answer, a failure or a refusal."},
    {EventCode::kDelegationFailed, "delegation_failed", LogSeverity::kWarning,
     "Another host gave no answer to a gather that it was passed."},
    {EventCode::kResponseMisplaced, "response_misplaced", LogSeverity::kWarning,
     "A server's response belonged to no open request and was discarded."},
    {EventCode::kResponseMalformed, "response_malformed", LogSeverity::kWarning,
     "A server sent bytes that can't be a final response."},
    {EventCode::kRoutesInForce, "routes_in_force", LogSeverity::kInfo,
     "A version of the routes came into force on this host."},
    {EventCode::kServerRegistered, "server_registered", LogSeverity::kInfo,
     "A backend server registered or changed its registration."},
    {EventCode::kServerRemoved, "server_removed", LogSeverity::kInfo,
     "A backend server is no longer registered and gets no new work."},
    {EventCode::kServerDoubted, "server_doubted", LogSeverity::kInfo,
     "A suspected backend server gets no work until a check clears it."},
    {EventCode::kServerCleared, "server_cleared", LogSeverity::kInfo,
     "A check determined the health of a suspected backend server."},
    {EventCode::kSourceLost, "source_lost", LogSeverity::kWarning,
     "Published routes and registrations are no longer readable."},
    {EventCode::kSourceRegained, "source_regained", LogSeverity::kInfo,
     "Published routes and registrations are readable again."},
    {EventCode::kSourceEntryUnreadable, "source_entry_unreadable",
     LogSeverity::kWarning, "A published entry is unreadable and was skipped."},
    {EventCode::kReachLost, "reach_lost", LogSeverity::kWarning,
     "Most servers of other failure domains are unreachable; not ready."},
    {EventCode::kReachRegained, "reach_regained", LogSeverity::kInfo,
     "Servers of other failure domains are reachable again."},
    {EventCode::kWatcherLeftOut, "watcher_left_out", LogSeverity::kInfo,
     "A host that passes published changes on was left for another source."},
    {EventCode::kQuotaAccountantChanged, "quota_accountant_changed",
     LogSeverity::kInfo,
     "Another host keeps the accounts of this failure domain."},
    {EventCode::kCallersGaveWay, "callers_gave_way", LogSeverity::kWarning,
     "Callers were refused or cut off because all together held too much."},
    {EventCode::kSourceEraChanged, "source_era_changed", LogSeverity::kWarning,
     "The source returned from a copy and may have lost its last changes."},
    {EventCode::kSettingsReloaded, "settings_reloaded", LogSeverity::kInfo,
     "The settings file was reloaded."},
    {EventCode::kSettingsRefused, "settings_refused", LogSeverity::kError,
     "The settings file is invalid; the previous settings stay."},
}};

/// \brief Looks up the description of an event.
/// \pre kEventDescriptions contains `code`
const EventDescription& DescriptionOf(EventCode code);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_EVENT_CODE_H_
