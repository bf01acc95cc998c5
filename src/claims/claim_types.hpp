/// @file
/// Messages and values of the claims that make a non-repeatable request run at most once: a request runs only
/// if more than half of the holders of its key have granted the key to this attempt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold::claims {

/// State of the request that holds a key.
enum class ClaimState : std::uint8_t {
    kInProgress,
    kCompleted,
    kUnknown,  ///< The coordinator does not know whether the request ran.
};

/// One attempt's request for a key.
struct ClaimRequest {
    std::uint64_t epoch = 0;     ///< Epoch of the holder view that the claimant uses.
    std::string key;             ///< Digest of service, method, path and idempotency key.
    std::uint64_t claimant = 0;  ///< Random number that identifies this attempt. Never reused.
    std::uint64_t fingerprint =
        0;  ///< Digest of the request; a later request with the same key must have the same digest.
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
    kDenied,   ///< Already granted to another claimant.
    kAbstain,  ///< This holder may not decide (not synchronized, other epoch, or not a holder).
};

struct ClaimReply {
    ClaimVerdict verdict = ClaimVerdict::kAbstain;
    std::uint64_t epoch = 0;                     ///< The holder's current epoch.
    ClaimState state = ClaimState::kInProgress;  ///< If denied: the state of the conflicting claim.
    std::uint64_t fingerprint = 0;
    std::string coordinator;
    std::uint64_t coordinator_boot = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, verdict, epoch, state, fingerprint, coordinator, coordinator_boot);
    }
};

/// The final state that a claimant sends to the holders.
enum class ClaimEnd : std::uint8_t {
    kCompleted,
    kUnknown,
    kReleased,  ///< The claimant has decided not to run the request; the key is free again.
};

/// Stable lower-case name for logs.
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

/// A grant as transferred between holders when the view changes.
struct ClaimEntry {
    ClaimRequest request;
    ClaimState state = ClaimState::kInProgress;
    std::uint64_t age_ms = 0;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, request, state, age_ms);
    }
};

/// Asks a holder of the old view for its grants. The receiver stops granting under `old_epoch` before it
/// replies.
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
    bool complete =
        false;  ///< The reply contains all grants that the replying holder made under the old view.
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
