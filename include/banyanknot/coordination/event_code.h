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
  kSettingsReloaded = 5009,
  kSettingsRefused = 5010,
};

/// \brief What is fixed about an event.
struct EventDescription {
  EventCode code;
  std::string_view name;
  LogSeverity severity;
  std::string_view meaning;
};

/// \brief Every event, ordered by number.
inline constexpr std::array<EventDescription, 29> kEventDescriptions{{
    {EventCode::kHostStarting, "host_starting", LogSeverity::kInfo,
     "The process has read its settings and starts."},
    {EventCode::kHostListening, "host_listening", LogSeverity::kInfo,
     "The host accepts connections on a port."},
    {EventCode::kHostReady, "host_ready", LogSeverity::kInfo,
     "The host has a catalogue in force and takes queries."},
    {EventCode::kHostStopping, "host_stopping", LogSeverity::kInfo,
     "A graceful stop has begun; the host is not ready any more."},
    {EventCode::kHostStopped, "host_stopped", LogSeverity::kInfo,
     "The host has finished everything and exits."},
    {EventCode::kHostStopForced, "host_stop_forced", LogSeverity::kError,
     "The stop ended with work left: its bound or a second signal came."},
    {EventCode::kListenFailed, "listen_failed", LogSeverity::kError,
     "A port can't be listened on; the process exits."},
    {EventCode::kEntryAccepted, "entry_accepted", LogSeverity::kInfo,
     "A catalogue entry came into force on this host."},
    {EventCode::kEntryRefused, "entry_refused", LogSeverity::kWarning,
     "A catalogue entry was refused; the last good one stays in force."},
    {EventCode::kEntryDeleted, "entry_deleted", LogSeverity::kInfo,
     "A catalogue entry was deleted on this host."},
    {EventCode::kEntryConflict, "entry_conflict", LogSeverity::kError,
     "Two contents came under one revision of a catalogue entry."},
    {EventCode::kDomainState, "domain_state", LogSeverity::kInfo,
     "A failure domain was taken out or put back."},
    {EventCode::kServerPhase, "server_phase", LogSeverity::kInfo,
     "A backend server changed its phase, as this host sees it."},
    {EventCode::kHostState, "host_state", LogSeverity::kInfo,
     "Another host changed its state, as this host sees it."},
    {EventCode::kHostLifecycle, "host_lifecycle", LogSeverity::kInfo,
     "This host started, became ready or is stopping."},
    {EventCode::kRequestAnswered, "request_answered", LogSeverity::kInfo,
     "A request got a server's reply or a whole answer; a sample of them."},
    {EventCode::kRequestNotWhole, "request_not_whole", LogSeverity::kWarning,
     "A request got a partial answer, a failure or a refusal."},
    {EventCode::kRoutesInForce, "routes_in_force", LogSeverity::kInfo,
     "A version of the routes came into force on this host."},
    {EventCode::kServerRegistered, "server_registered", LogSeverity::kInfo,
     "A backend server registered itself or changed what it says."},
    {EventCode::kServerRemoved, "server_removed", LogSeverity::kInfo,
     "A backend server is not registered any more and gets no new work."},
    {EventCode::kServerDoubted, "server_doubted", LogSeverity::kInfo,
     "A backend server gets no work until a check clears it."},
    {EventCode::kServerCleared, "server_cleared", LogSeverity::kInfo,
     "A check found out how a doubted backend server is."},
    {EventCode::kSourceLost, "source_lost", LogSeverity::kWarning,
     "What operators and servers publish can't be read any more."},
    {EventCode::kSourceRegained, "source_regained", LogSeverity::kInfo,
     "What operators and servers publish can be read again."},
    {EventCode::kSourceEntryUnreadable, "source_entry_unreadable",
     LogSeverity::kWarning,
     "A published entry can't be read and is passed over."},
    {EventCode::kReachLost, "reach_lost", LogSeverity::kWarning,
     "Most servers of other failure domains are out of reach; not ready."},
    {EventCode::kReachRegained, "reach_regained", LogSeverity::kInfo,
     "Servers of other failure domains are in reach again."},
    {EventCode::kSettingsReloaded, "settings_reloaded", LogSeverity::kInfo,
     "The settings file was read again."},
    {EventCode::kSettingsRefused, "settings_refused", LogSeverity::kError,
     "The settings file has a fault; the settings before it stay."},
}};

/// \brief Looks up the description of an event.
/// \pre code stands in kEventDescriptions
const EventDescription& DescriptionOf(EventCode code);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_EVENT_CODE_H_
