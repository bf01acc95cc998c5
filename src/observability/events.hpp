/// @file
/// Numbered log events and the process-wide log. Owns the catalogue (event_catalogue.cpp, documented in
/// docs/EVENTS.md), the format of lines and the ring of recent lines; relies on log4cplus for output. Logging
/// never blocks: its volume is bounded, and lines that do not fit are counted.
#pragma once

#include <deque>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/endpoint.hpp"
#include "protocol/error_kind.hpp"

namespace anisehold::observability {

/// Events other than responses to calls; responses use the numbers of the error table (2001 and up).
enum class Event : unsigned {
    kStarted = 1001,
    kStopping = 1002,
    kStopped = 1003,
    kStartFailed = 1004,
    kSettingsReloaded = 1005,
    kSettingsRejected = 1006,
    kMachineSuspended = 1007,
    kStopSignalRepeated = 1008,
    kBuild = 1009,
    kRequestCut = 1010,
    kTableInForce = 1101,
    kTableRejected = 1102,
    kStoreUnreachable = 1103,
    kStoreReachable = 1104,
    kMachineListUnreachable = 1105,
    kMachineListReachable = 1106,
    kConfigurationInForce = 1107,
    kConfigurationRejected = 1108,
    kRegistrationAbandoned = 1109,
    kWatchRoleChanged = 1110,
    kRegistrationsRestored = 1111,
    kKeysUnproven = 1112,
    kKeysProven = 1113,
    kQuotaOwnerSilent = 1114,
    kStoreItemsRefused = 1115,
    kHolderViewInForce = 1201,
    kHolderViewChanged = 1202,
    kClaimsServing = 1203,
    kClaimsAbstaining = 1204,
    kClaimEndUndelivered = 1205,
    kHolderViewNotChanged = 1206,
    kMemberChanged = 1301,
    kPeerFrameRefused = 1302,
    kPeerChanged = 1303,
    kServerLeaving = 1401,
    kServerEjected = 1402,
    kServerListed = 1403,
    kGateOpened = 1404,
    kServerRegistered = 1405,
    kServerSilent = 1406,
    kHeartbeatRefused = 1407,
    kServerFound = 1408,
    kServerCrashed = 1409,
    kRefusalDoubted = 1410,
    kServerPassedOver = 1411,
    kServerTried = 1412,
    kServerRateLimit = 1413,
    kServerLimitMalformed = 1414,
    kServerRateRefused = 1415,
    kReservationExpired = 1420,
    kGateSilent = 1421,
    kServerDeclining = 1425,
    kRetryLimitMoved = 1426,
    kServerSpeedUsed = 1430,
    kCallerLimited = 1431,
    kContextRefused = 1501,
    kIngressCall = 1601,
    kGateCall = 1602,
    kRootLimitMoved = 1603,
    kConnectionForgotten = 1604,
    kRoutineLinesSkipped = 1605,
    kGateLimitMoved = 1606,
    kRequestCondemned = 1607,
    kRequestCleared = 1608,
    kVerdictStored = 1609,
    kCapacityForecast = 1620,
    kZoneSilent = 1621,
    kZoneHeard = 1622,
    kDemandRose = 1623,
    kCallAttribution = 1625,
    kMechanismOff = 1901,
};

/// Severity of an event; the settings define the minimum level that is logged.
enum class Level { kDebug, kInfo, kWarn, kError };

/// One row of the catalogue.
struct EventEntry {
    Event event;
    Level level;
    std::string_view name;     ///< Stable lower-case name, as in log lines.
    std::string_view meaning;  ///< For docs/EVENTS.md.
};

/// The catalogue of `Event`, in ascending order.
std::span<const EventEntry> event_catalogue();
const EventEntry& entry_for(Event event);

/// A named value in an event.
struct EventField {
    std::string_view name;
    std::string value;
};

/// Where log lines go, through a bounded buffer that never blocks.
enum class LogOutput { kStandardError, kStandardOutput };

/// Starts logging. `layout` is "json" or "text", `level` a name as in the settings.
void start_logging(const std::string& level, const std::string& layout, const std::string& member,
                   LogOutput output = LogOutput::kStandardError);
/// Makes lines stay in the buffer until `flush_log` is called, for which `schedule` must arrange; without it
/// each line is written at once.
void set_log_scheduler(std::function<void()> schedule);
/// Writes the buffered lines, as far as the output accepts them now.
void flush_log();
/// Writes pending lines and shuts down logging.
void stop_logging();

/// Logs an event at its catalogue level.
void log_event(Event event, std::initializer_list<EventField> fields);
/// Logs a routine success event: at most 200 lines per second; further lines are skipped and counted.
void log_routine(Event event, std::initializer_list<EventField> fields);
/// Logs a bind failure if `error` is set; returns true if the address was bound. `purpose` is a log field.
bool log_unless_bound(std::error_code error, const Endpoint& address, std::string_view purpose);
/// Logs an error response to a call, at level debug because there may be thousands per second.
void log_answer(ErrorKind kind, std::initializer_list<EventField> fields);

/// The latest events as JSON lines, oldest first, for the admin port.
std::vector<std::string> recent_events();

}  // namespace anisehold::observability
