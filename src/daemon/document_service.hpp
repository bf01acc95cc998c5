/// @file
/// Maintains this daemon's copies of the table and the holder view. Two daemons of each zone read the
/// documents from the store; the others fetch them from peers, whose revisions arrive with the gossip. Owns
/// the copies and the connection to the store; relies on the membership to choose the readers.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "claims/holder_view.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "protocol/documents.hpp"
#include "routing/route_table.hpp"
#include "store/etcd_store.hpp"

namespace anisehold::daemon {

/// Installs a document only if its revision is higher than that of the current copy.
class DocumentService {
  public:
    DocumentService(DaemonContext& context, PeerClient& peers, MembershipService& membership);

    /// Starts reading from the store (if this daemon is a store reader) and from peers.
    void start();
    /// The active table, or null.
    std::shared_ptr<const routing::RouteTable> table() const { return table_; }
    /// The active holder view; epoch 0 if there is none.
    const claims::HolderView& holder_view() const { return holder_view_; }
    /// Store revision of the holder view.
    std::uint64_t holder_view_revision() const;
    void set_holder_view_listener(std::function<void(const claims::HolderView&)> listener);
    /// The current copy of a document, for peers that request it.
    const Document& document(DocumentKind kind) const;
    DocumentRevisions revisions() const;
    /// Installs a document from any source if it is newer than the current copy and well formed. A rejected
    /// table is logged; `source` is only used for the log.
    void offer(const Document& document, std::string_view source);

    /// Whether this daemon is one of its zone's store readers.
    bool is_store_reader() const;
    store::KeyValueStore& store() { return store_; }

  private:
    void run_store_reader();
    bool read_store_once();
    void watch_store();
    void on_peer_revisions(const membership::MemberInfo& peer, const DocumentRevisions& revisions);
    void fetch_from(const membership::MemberInfo& peer, DocumentKind kind);
    /// Whether a document of this revision replaces the current copy.
    bool wants(std::size_t index, std::uint64_t revision) const;
    bool install_table(const Document& document, std::string_view source);
    bool install_holder_view(const Document& document, std::string_view source);
    void record_store_state(bool reachable);

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    store::EtcdStore store_;
    std::array<Document, kDocumentKinds> documents_;
    DocumentRevisions rejected_{};  // Highest rejected revisions, which aren't fetched again.
    std::array<bool, kDocumentKinds> fetching_{};
    std::shared_ptr<const routing::RouteTable> table_;
    claims::HolderView holder_view_;
    std::function<void(const claims::HolderView&)> holder_view_listener_;
    std::uint64_t store_revision_ = 0;
    bool store_reachable_ = true;
};

}  // namespace anisehold::daemon
