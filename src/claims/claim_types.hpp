/// @file
/// Messages and values of the claims that make a non-repeatable request run at most once: it runs only when
/// more than half of the holders of its key have granted it to this attempt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold::claims {

/// What is known about the request that holds a key.
enum class ClaimState : std::uint8_t {
    kInProgress,
    kCompleted,
    kUnknown,  ///< Its coordinator doesn't know whether it ran.
};

/// A request for one key by one attempt to run it.
struct ClaimRequest {
    std::uint64_t epoch = 0;     ///< Of the holder view that the claimant uses.
    std::string key;             ///< Digest of service, method, path and idempotency key.
    std::uint64_t claimant = 0;  ///< Random; identifies this attempt. Never reused.
    std::uint64_t fingerprint =
        0;  ///< Digest of the request; a later request with the same key must have the same.
    std::string coordinator;  ///< Member id of the claimant's daemon.
    std::uint64_t coordinator_boot = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, epoch, key, claimant, fingerprint, coordinator, coordinator_boot);
    }
};

/// A holder's decision on a claim.
enum class ClaimVerdict : std::uint8_t {
    kGranted,
    kDenied,   ///< Granted to another claimant before.
    kAbstain,  ///< This holder may not answer (not synced, other epoch, not a holder).
};

struct ClaimReply {
    ClaimVerdict verdict = ClaimVerdict::kAbstain;
    std::uint64_t epoch = 0;                     ///< The holder's own epoch.
    ClaimState state = ClaimState::kInProgress;  ///< Of the claim that stands, when denied.
    std::uint64_t fingerprint = 0;
    std::string coordinator;
    std::uint64_t coordinator_boot = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, verdict, epoch, state, fingerprint, coordinator, coordinator_boot);
    }
};

/// What a claimant sends the holders at the end.
enum class ClaimEnd : std::uint8_t {
    kCompleted,
    kUnknown,
    kReleased,  ///< The claimant has decided never to run; the key is free again.
};

/// Stable lower-case name, for logs.
inline std::string_view end_name(ClaimEnd end) {
    switch (end) {
        case ClaimEnd::kCompleted:
            return "completed";
        case ClaimEnd::kUnknown:
            return "unknown";
        case ClaimEnd::kReleased:
            return "released";
    }
    return "unknown";
}

struct ClaimUpdate {
    std::string key;
    std::uint64_t claimant = 0;
    ClaimEnd end = ClaimEnd::kCompleted;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, key, claimant, end);
    }
};

/// A grant as it passes between holders when the view changes.
struct ClaimEntry {
    ClaimRequest request;
    ClaimState state = ClaimState::kInProgress;
    std::uint64_t age_ms = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, request, state, age_ms);
    }
};

/// Asks a holder of the old view for its grants. The answerer stops granting under `old_epoch` first.
struct ClaimSyncRequest {
    std::uint64_t old_epoch = 0;
    std::uint64_t new_epoch = 0;
    std::string requester;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, old_epoch, new_epoch, requester);
    }
};

struct ClaimSyncReply {
    bool complete = false;  ///< The answerer knew all grants made by it under the old view.
    std::vector<ClaimEntry> entries;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, complete, entries);
    }
};

/// Asks whether a holder serves an epoch.
struct ClaimStatusRequest {
    std::uint64_t epoch = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, epoch);
    }
};

struct ClaimStatusReply {
    bool serving = false;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, serving);
    }
};

}  // namespace anisehold::claims
