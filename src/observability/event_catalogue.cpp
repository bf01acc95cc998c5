#include <algorithm>
#include <array>

#include "observability/events.hpp"

namespace anisehold::observability {
namespace {

constexpr std::array kCatalogue{
    EventEntry{Event::kStarted, Level::kInfo, "started", "The daemon serves callers."},
    EventEntry{Event::kStopping, Level::kInfo, "stopping",
               "A planned stop began: no new connection is accepted."},
    EventEntry{Event::kStopped, Level::kInfo, "stopped",
               "The planned stop ended; `in_flight` calls were left at its end."},
    EventEntry{Event::kStartFailed, Level::kError, "start-failed",
               "An address could not be bound; the process ends."},
    EventEntry{Event::kSettingsReloaded, Level::kInfo, "settings-reloaded",
               "The settings file changed and is in force."},
    EventEntry{Event::kSettingsRejected, Level::kError, "settings-rejected",
               "The settings file changed and has a mistake; the settings before stay in force."},
    EventEntry{Event::kMachineSuspended, Level::kWarn, "machine-suspended",
               "The machine stood still for `suspended_ms`, which its steady clock doesn't count; all that "
               "this daemon knew has aged by that."},
    EventEntry{Event::kStopSignalRepeated, Level::kInfo, "stop-signal-repeated",
               "A stop signal arrived during a planned stop, which it doesn't change."},
    EventEntry{Event::kBuild, Level::kInfo, "build",
               "The daemon starts: what its program was built from and how."},
    EventEntry{Event::kRequestCut, Level::kWarn, "request-cut",
               "A request was still in progress at the end of a planned stop, and was ended without its "
               "server's response."},
    EventEntry{Event::kTableInForce, Level::kInfo, "table-in-force",
               "A table with a higher revision is in force."},
    EventEntry{Event::kTableRejected, Level::kError, "table-rejected",
               "A table in the store has a bad cell; the one before stays in force."},
    EventEntry{Event::kStoreUnreachable, Level::kWarn, "store-unreachable",
               "The store doesn't answer; table and holder view stay as they are."},
    EventEntry{Event::kStoreReachable, Level::kInfo, "store-reachable", "The store answers again."},
    EventEntry{Event::kMachineListUnreachable, Level::kWarn, "machine-list-unreachable",
               "The machine list doesn't answer or is malformed; the last one stays in use."},
    EventEntry{Event::kMachineListReachable, Level::kInfo, "machine-list-reachable",
               "The machine list answers again."},
    EventEntry{Event::kConfigurationInForce, Level::kInfo, "configuration-in-force",
               "A configuration with a higher version is in force."},
    EventEntry{Event::kConfigurationRejected, Level::kError, "configuration-rejected",
               "A configuration is malformed; the one before stays in force."},
    EventEntry{Event::kRegistrationAbandoned, Level::kInfo, "registration-abandoned",
               "Nobody has written a registration for long: its machine is gone, and it was removed."},
    EventEntry{Event::kWatchRoleChanged, Level::kInfo, "watch-role-changed",
               "Whether this daemon watches the store for configurations changed."},
    EventEntry{Event::kRegistrationsRestored, Level::kWarn, "registrations-restored",
               "The store had lost registrations of daemons that are heard; a watcher wrote them again."},
    EventEntry{Event::kKeysUnproven, Level::kWarn, "keys-unproven",
               "Nothing has shown for long that the configuration is the newest: requests with keys are "
               "refused."},
    EventEntry{Event::kKeysProven, Level::kInfo, "keys-proven",
               "The configuration was shown to be the newest: requests with keys are served again."},
    EventEntry{Event::kQuotaOwnerSilent, Level::kWarn, "quota-owner-silent",
               "The daemon that counts a tenant's requests didn't answer; it is asked again until its "
               "leases have ended."},
    EventEntry{Event::kStoreItemsRefused, Level::kWarn, "store-items-refused",
               "Items of the store couldn't be read and were left out; the others hold."},
    EventEntry{Event::kHolderViewInForce, Level::kInfo, "holder-view-in-force",
               "This daemon uses a new claim holder view."},
    EventEntry{Event::kHolderViewChanged, Level::kInfo, "holder-view-changed",
               "This daemon changed the holder view in the store."},
    EventEntry{Event::kClaimsServing, Level::kInfo, "claims-serving",
               "This daemon grants claims in its epoch."},
    EventEntry{
        Event::kClaimsAbstaining, Level::kWarn, "claims-abstaining",
        "This daemon holds claims but doesn't grant until it has synced or the memory window has passed."},
    EventEntry{Event::kClaimEndUndelivered, Level::kWarn, "claim-end-undelivered",
               "A holder couldn't be told how a claim ended; it keeps the claim until its window ends."},
    EventEntry{Event::kHolderViewNotChanged, Level::kWarn, "holder-view-not-changed",
               "A new set of claim holders wasn't stored; it is proposed again."},
    EventEntry{Event::kMemberChanged, Level::kInfo, "member-changed",
               "A member joined, or its state changed."},
    EventEntry{Event::kPeerFrameRefused, Level::kWarn, "peer-frame-refused",
               "A peer message was malformed, too large or not authenticated."},
    EventEntry{Event::kPeerChanged, Level::kInfo, "peer-changed",
               "A peer appeared, restarted, or its server or leaving changed."},
    EventEntry{Event::kServerLeaving, Level::kInfo, "server-leaving",
               "A back end said that it is leaving; it gets no new work."},
    EventEntry{Event::kServerEjected, Level::kWarn, "server-ejected",
               "A back end failed repeatedly and gets no work for a while."},
    EventEntry{Event::kServerListed, Level::kInfo, "server-listed",
               "The machine list names a new server, a changed state, or no longer names a server."},
    EventEntry{Event::kGateOpened, Level::kInfo, "gate-opened", "This daemon became the gate of a server."},
    EventEntry{Event::kServerRegistered, Level::kInfo, "server-registered",
               "The server beside this daemon registered, or its slots, service or address changed."},
    EventEntry{Event::kServerSilent, Level::kWarn, "server-silent",
               "The server beside this daemon sent no heartbeat for long; it gets no new work."},
    EventEntry{Event::kHeartbeatRefused, Level::kWarn, "heartbeat-refused", "A heartbeat was malformed."},
    EventEntry{Event::kServerFound, Level::kInfo, "server-found",
               "The server beside this daemon said that it is well, before its first heartbeat came."},
    EventEntry{Event::kServerCrashed, Level::kWarn, "server-crashed",
               "The server beside this daemon ended while requests ran there; `running` of them, by digest."},
    EventEntry{Event::kRefusalDoubted, Level::kWarn, "refusal-doubted",
               "A server said that it didn't run a call that may not be repeated, but may have begun it."},
    EventEntry{
        Event::kServerPassedOver, Level::kInfo, "server-passed-over",
        "A server that failed gets no requests of this daemon: it would cost more than the chosen one."},
    EventEntry{Event::kServerTried, Level::kInfo, "server-tried",
               "A server that failed gets one request that may be repeated, to find out whether it is back."},
    EventEntry{
        Event::kServerRateLimit, Level::kInfo, "server-rate-limit",
        "The requests a second that the server beside this daemon takes (`per_s`) became known, moved or "
        "ended; `source` says from whom it is known, `age_ms` when it was last named before."},
    EventEntry{Event::kServerLimitMalformed, Level::kWarn, "server-limit-malformed",
               "A server names a number of requests a second that can't be read; what was known of its limit "
               "stays."},
    EventEntry{Event::kServerRateRefused, Level::kWarn, "server-rate-refused",
               "So many requests were refused since the last such line, since the server takes only `per_s` "
               "a second."},
    EventEntry{
        Event::kReservationExpired, Level::kInfo, "reservation-expired",
        "Grants and places in the queue of this daemon's server expired without a request or a renewal; "
        "the line counts those since the last such line."},
    EventEntry{
        Event::kGateSilent, Level::kWarn, "gate-silent",
        "Gates of peers did not reply to reservations; the line counts those since the last such line. The "
        "requests have not run there."},
    EventEntry{Event::kServerDeclining, Level::kWarn, "server-declining",
               "The server beside this daemon began or ceased (`state`) to decline a share of its arrivals, "
               "whatever its load."},
    EventEntry{
        Event::kRetryLimitMoved, Level::kInfo, "retry-limit-moved",
        "The servers of a service decline a share of their arrivals, or no longer do; the retries that "
        "they may still get (`retries_per_s`) limit the requests that are let in (`let_in`)."},
    EventEntry{
        Event::kServerSpeedUsed, Level::kInfo, "server-speed-used",
        "The response times of the server beside this daemon began or ceased to follow the slowness that it "
        "states (`percent`); the figure is weighted by `trust` in either case."},
    EventEntry{
        Event::kCallerLimited, Level::kInfo, "caller-limited",
        "A zone or tenant whose demand exceeds its usual one is refused more than others, or no longer."},
    EventEntry{Event::kContextRefused, Level::kWarn, "context-refused",
               "A call brought a context that is forged, malformed or of an ended call."},
    EventEntry{Event::kIngressCall, Level::kInfo, "ingress-call",
               "A request that came in at this daemon got its final answer."},
    EventEntry{Event::kGateCall, Level::kInfo, "gate-call",
               "A request for the server beside this daemon ended at its gate."},
    EventEntry{Event::kRootLimitMoved, Level::kInfo, "root-limit-moved",
               "The share of requests that are let in for a service changed, by the fleet's counts of "
               "refused calls."},
    EventEntry{
        Event::kConnectionForgotten, Level::kInfo, "connection-forgotten",
        "A kept connection broke as soon as it was used again; others may rest less long from now on."},
    EventEntry{Event::kRoutineLinesSkipped, Level::kInfo, "routine-lines-skipped",
               "So many lines of ordinary successes were not written, for their rate; failures are."},
    EventEntry{
        Event::kGateLimitMoved, Level::kInfo, "gate-limit-moved",
        "The number of calls that a gate lets run at its server changed, by how long calls take there."},
    EventEntry{Event::kRequestCondemned, Level::kWarn, "request-condemned",
               "A request has crashed several servers in a row; it is sent to none from now on."},
    EventEntry{Event::kRequestCleared, Level::kInfo, "request-cleared",
               "A request that ran at a server when it crashed was answered by another, or lifted by an "
               "operator."},
    EventEntry{Event::kVerdictStored, Level::kInfo, "verdict-stored",
               "What is known of a request that crashes servers was written to the store, or removed."},
    EventEntry{Event::kCapacityForecast, Level::kInfo, "capacity-forecast",
               "The share of the work offered to a service that its forecast capacity admits changed."},
    EventEntry{Event::kZoneSilent, Level::kWarn, "zone-silent",
               "No daemon of a zone is heard any more; the forecast excludes its servers and its demand."},
    EventEntry{Event::kZoneHeard, Level::kInfo, "zone-heard",
               "A daemon of a zone that was silent is heard again."},
    EventEntry{Event::kDemandRose, Level::kInfo, "demand-rose",
               "The requests of clients at this daemon rose significantly; the peers are told at once."},
    EventEntry{Event::kCallAttribution, Level::kInfo, "call-attribution",
               "The parents of most calls of the local server became known (`known` yes) or unknown; `share` "
               "of the recent ones are."},
    EventEntry{Event::kMechanismOff, Level::kWarn, "mechanism-off", "The lab switched a mechanism off."},
};

}  // namespace

std::span<const EventEntry> event_catalogue() {
    return kCatalogue;
}

const EventEntry& entry_for(Event event) {
    return *std::find_if(kCatalogue.begin(), kCatalogue.end(),
                         [&](const EventEntry& entry) { return entry.event == event; });
}

}  // namespace anisehold::observability
