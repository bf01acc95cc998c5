/// @file
/// Messages between table daemons over TCP, and the authenticated encoding of those and of gossip datagrams.
/// Owns the list of requests and replies, whose order is on the wire; claims, retries and membership own
/// their own messages. Pure.
#pragma once

#include <boost/variant.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "claims/claim_types.hpp"
#include "membership/gossip_message.hpp"
#include "membership/member.hpp"
#include "protocol/documents.hpp"
#include "protocol/serialize_all.hpp"
#include "protocol/stored_answer.hpp"
#include "retry/retry_ledger.hpp"

namespace anisehold::daemon {

/// Asks for all member records; brings the sender's own one.
struct MembersRequest {
    std::vector<membership::MemberRecord> records;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, records);
    }
};

struct MembersReply {
    std::vector<membership::MemberRecord> records;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, records);
    }
};

/// Asks for a document; answered by `Document`, with revision 0 if there is none.
struct DocumentRequest {
    DocumentKind kind = DocumentKind::kTable;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, kind);
    }
};

/// Asks which document revisions a daemon has.
struct RevisionsRequest {
    template <typename Archive>
    void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

struct RevisionsReply {
    DocumentRevisions revisions{};

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, revisions);
    }
};

/// Asks a coordinator for the answer that it kept for a key.
struct AnswerRequest {
    std::string key;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, key);
    }
};

/// At most one answer.
struct AnswerReply {
    std::vector<StoredAnswer> answers;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, answers);
    }
};

/// The reply to a request that needs no other one.
struct Acknowledged {
    template <typename Archive>
    void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

using PeerRequest = boost::variant<MembersRequest, DocumentRequest, claims::ClaimRequest, claims::ClaimUpdate,
                                   claims::ClaimSyncRequest, claims::ClaimStatusRequest, retry::DrawRequest,
                                   retry::SettleRequest, AnswerRequest, RevisionsRequest>;
using PeerReply =
    boost::variant<Acknowledged, MembersReply, Document, claims::ClaimReply, claims::ClaimSyncReply,
                   claims::ClaimStatusReply, retry::DrawReply, AnswerReply, RevisionsReply>;

/// Largest encoded message, in bytes; a longer frame is refused unread. Chosen, not measured.
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/// Encodes with a leading authentication code under `key`.
std::string encode(const membership::GossipMessage& message, std::string_view key);
std::string encode(const PeerRequest& message, std::string_view key);
std::string encode(const PeerReply& message, std::string_view key);

/// Decode; nothing if the code doesn't fit `key` or the content is malformed.
std::optional<membership::GossipMessage> decode_gossip(std::string_view bytes, std::string_view key);
std::optional<PeerRequest> decode_request(std::string_view bytes, std::string_view key);
std::optional<PeerReply> decode_reply(std::string_view bytes, std::string_view key);

}  // namespace anisehold::daemon
