/// @file
/// Messages between table daemons over TCP, and the authenticated encoding of these messages and of gossip
/// datagrams. Owns the list of request and reply types, whose order is part of the wire format; claims,
/// retries and membership define their own messages. Pure.
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

/// Requests all member records; carries the sender's own record.
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

/// Requests a document. The reply is a `Document`, with revision 0 if there is none.
struct DocumentRequest {
    DocumentKind kind = DocumentKind::kTable;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, kind);
    }
};

/// Requests a daemon's document revisions.
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

/// Requests the response that a coordinator stored for a key.
struct AnswerRequest {
    std::string key;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, key);
    }
};

/// Contains at most one stored response.
struct AnswerReply {
    std::vector<StoredAnswer> answers;

    template <typename Archive>
    void serialize(Archive& archive, unsigned /*version*/) {
        serialize_all(archive, answers);
    }
};

/// Reply to a request that needs no result.
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

/// Maximum size of an encoded message; a longer frame is rejected without being read.
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/// Encodes a message, preceded by its authentication code under `key`.
std::string encode(const membership::GossipMessage& message, std::string_view key);
std::string encode(const PeerRequest& message, std::string_view key);
std::string encode(const PeerReply& message, std::string_view key);

/// Decodes a message. Nothing if the authentication code doesn't match `key` or the content is malformed.
std::optional<membership::GossipMessage> decode_gossip(std::string_view bytes, std::string_view key);
std::optional<PeerRequest> decode_request(std::string_view bytes, std::string_view key);
std::optional<PeerReply> decode_reply(std::string_view bytes, std::string_view key);

}  // namespace anisehold::daemon
