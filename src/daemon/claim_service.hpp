/// @file
/// Claims on idempotency keys over the peer protocol, with this daemon as claimant and as holder. Owns the
/// grants that this daemon made and the responses that it stores; relies on the holder view for the current
/// holders.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim_holder.hpp"
#include "claims/claim_tally.hpp"
#include "daemon/answer_store.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/holder_view_keeper.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

/// A claim made by this daemon, and its result.
struct ClaimOutcome {
    claims::ClaimResult result = claims::ClaimResult::kUnavailable;
    std::string key;
    std::uint64_t claimant = 0;   ///< Random id of this claim at its holders.
    claims::ClaimReply standing;  ///< For a duplicate: the existing claim on the key.
};

/// Runs claims over the peer protocol.
class ClaimService {
  public:
    ClaimService(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                 DocumentService& documents);

    void start();
    /// Claims a key. While no majority of the holders answers, asks them again for a limited number of
    /// rounds, until `deadline` at the latest. Blocks the fiber. The result is never `kPending`.
    ClaimOutcome claim(const std::string& key, std::uint64_t fingerprint, TimePoint deadline);
    /// Sends the end of a claim to its holders in the background. The message is repeated until each holder
    /// has acknowledged it, for about ten seconds at most.
    void finish(const ClaimOutcome& won, claims::ClaimEnd end);
    /// Whether the holder view no longer contains this daemon and the other holders serve the view. From then
    /// on nobody needs this daemon's grants, and a planned stop may end the process.
    bool handed_over();
    /// Whether the process that coordinates an existing claim is still running.
    bool is_coordinator_running(const claims::ClaimReply& standing) const;

    /// Stores the response to a completed request.
    void keep_answer(const std::string& key, StoredAnswer answer);
    /// Returns the response stored by this daemon or by the claim's coordinator.
    std::optional<StoredAnswer> find_answer(const std::string& key, const claims::ClaimReply& standing);

    claims::ClaimReply handle(const claims::ClaimRequest& request);
    void handle(const claims::ClaimUpdate& update);
    claims::ClaimSyncReply handle(const claims::ClaimSyncRequest& request);
    claims::ClaimStatusReply handle(const claims::ClaimStatusRequest& request) const;
    AnswerReply handle(const AnswerRequest& request) const;

    const claims::ClaimHolder& holder() const { return holder_; }

  private:
    struct Round;

    ClaimOutcome claim_once(const std::string& key, std::uint64_t fingerprint, TimePoint deadline);
    void ask_holder(const std::shared_ptr<Round>& round, const claims::Holder& holder);
    void send_update(const claims::Holder& holder, const claims::ClaimUpdate& update);
    void run_holder();
    void sync_with(const claims::Holder& source);
    std::vector<claims::Holder> ended_holders() const;
    void report_serving();

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
    claims::ClaimHolder holder_;
    AnswerStore answers_;
    HolderViewKeeper view_keeper_;
    bool was_serving_ = false;
    std::uint64_t reported_epoch_ = 0;
};

}  // namespace anisehold::daemon
