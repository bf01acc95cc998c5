#include "daemon/document_service.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "config/table.hpp"
#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using observability::Event;
using observability::log_event;

/// Timeout of one call to the store.
constexpr milliseconds kStoreTimeout{2'000};
/// Timeout of a document request to a peer.
constexpr seconds kFetchTimeout{2};
/// Store readers per zone: with two, one reader may be down without delaying changes in the zone.
constexpr std::size_t kReadersPerZone = 2;
/// Interval at which a daemon checks whether it is a store reader; also the maximum pause before a broken
/// watch is reopened.
constexpr milliseconds kRolePollPeriod{500};

std::size_t index_of(DocumentKind kind) {
    return static_cast<std::size_t>(kind);
}

std::optional<DocumentKind> kind_of_key(const std::string& key) {
    if (key == store::kTableKey) {
        return DocumentKind::kTable;
    }
    if (key == store::kHolderViewKey) {
        return DocumentKind::kHolderView;
    }
    return std::nullopt;
}

}  // namespace

DocumentService::DocumentService(DaemonContext& context, PeerClient& peers, MembershipService& membership)
    : context_(context),
      peers_(peers),
      membership_(membership),
      store_(context.io, context.settings.platform_stores, kStoreTimeout) {
    documents_[index_of(DocumentKind::kTable)].kind = DocumentKind::kTable;
    documents_[index_of(DocumentKind::kHolderView)].kind = DocumentKind::kHolderView;
}

void DocumentService::start() {
    membership_.set_revision_listener(
        [this](const membership::MemberInfo& peer, const DocumentRevisions& revisions) {
            on_peer_revisions(peer, revisions);
        });
    if (!context_.settings.platform_stores.empty()) {
        net::EventLoop::spawn([this] { run_store_reader(); });
    }
}

void DocumentService::set_holder_view_listener(std::function<void(const claims::HolderView&)> listener) {
    holder_view_listener_ = std::move(listener);
}

std::uint64_t DocumentService::holder_view_revision() const {
    return document(DocumentKind::kHolderView).revision;
}

const Document& DocumentService::document(DocumentKind kind) const {
    return documents_[index_of(kind)];
}

DocumentRevisions DocumentService::revisions() const {
    DocumentRevisions revisions{};
    for (std::size_t index = 0; index < kDocumentKinds; ++index) {
        revisions[index] = documents_[index].revision;
    }
    return revisions;
}

bool DocumentService::is_store_reader() const {
    return membership_.is_among_first(kReadersPerZone, "store-reader", context_.self.zone);
}

void DocumentService::run_store_reader() {
    while (true) {
        // A daemon without a table reads the store itself, even if it isn't a store reader.
        const bool should_read = is_store_reader() || !table_;
        if (!should_read) {
            boost::this_fiber::sleep_for(kRolePollPeriod);
            continue;
        }
        if (read_store_once()) {
            watch_store();
        }
        const milliseconds pause(context_.settings.platform_poll_ms);
        boost::this_fiber::sleep_for(store_reachable_ ? std::min(pause, kRolePollPeriod) : pause);
    }
}

bool DocumentService::read_store_once() {
    std::error_code error;
    bool read_all = true;
    for (const auto* key : {store::kTableKey, store::kHolderViewKey}) {
        const auto result = store_.range(key, "", error);
        read_all = read_all && result.has_value();
        if (!result) {
            continue;
        }
        store_revision_ = std::max(store_revision_, result->store_revision);
        for (const auto& value : result->values) {
            offer({*kind_of_key(value.key), value.mod_revision, value.value}, "store");
        }
    }
    record_store_state(read_all);
    return read_all;
}

void DocumentService::watch_store() {
    const std::string prefix = "/anisehold/";
    store_.watch(prefix, store::prefix_end(prefix), store_revision_ + 1,
                 [this](const store::KeyValue& change) {
                     store_revision_ = std::max(store_revision_, change.mod_revision);
                     if (const auto kind = kind_of_key(change.key)) {
                         offer({*kind, change.mod_revision, change.value}, "store");
                     }
                     return true;
                 });
}

void DocumentService::record_store_state(bool reachable) {
    if (reachable == store_reachable_) {
        return;
    }
    store_reachable_ = reachable;
    log_event(reachable ? Event::kStoreReachable : Event::kStoreUnreachable, {});
}

bool DocumentService::wants(std::size_t index, std::uint64_t revision) const {
    if (revision > std::max(documents_[index].revision, rejected_[index])) {
        return true;
    }
    const bool different = revision != documents_[index].revision && revision != 0;
    return different && !context_.has(config::Mechanism::kRevisionOrder);
}

void DocumentService::offer(const Document& document, std::string_view source) {
    const auto index = index_of(document.kind);
    if (!wants(index, document.revision)) {
        return;
    }
    const bool installed = document.kind == DocumentKind::kTable ? install_table(document, source)
                                                                 : install_holder_view(document, source);
    if (!installed) {
        rejected_[index] = document.revision;
        return;
    }
    documents_[index] = document;
    if (context_.has(config::Mechanism::kPeerDistribution)) {
        membership_.announce_revisions(revisions());
    }
}

bool DocumentService::install_table(const Document& document, std::string_view source) {
    auto parsed = config::parse_table_record(document.text);
    if (!parsed.errors.empty()) {
        log_event(Event::kTableRejected, {{"revision", std::to_string(document.revision)},
                                          {"source", std::string(source)},
                                          {"reason", parsed.errors.front().text()}});
        return false;
    }
    const std::string change_id = parsed.record.change_id;
    table_ = std::make_shared<const routing::RouteTable>(std::move(parsed.record), document.revision);
    context_.metrics.set_table_revision(document.revision);
    log_event(Event::kTableInForce, {{"revision", std::to_string(document.revision)},
                                     {"change_id", change_id},
                                     {"source", std::string(source)}});
    return true;
}

bool DocumentService::install_holder_view(const Document& document, std::string_view source) {
    claims::HolderView view;
    if (!claims::parse_holder_view(document.text, view) || view.epoch <= holder_view_.epoch) {
        return false;
    }
    holder_view_ = view;
    log_event(Event::kHolderViewInForce, {{"epoch", std::to_string(view.epoch)},
                                          {"holders", std::to_string(view.holders.size())},
                                          {"source", std::string(source)}});
    if (holder_view_listener_) {
        holder_view_listener_(holder_view_);
    }
    return true;
}

void DocumentService::on_peer_revisions(const membership::MemberInfo& peer,
                                        const DocumentRevisions& revisions) {
    if (!context_.has(config::Mechanism::kPeerDistribution)) {
        return;
    }
    for (const auto kind : {DocumentKind::kTable, DocumentKind::kHolderView}) {
        const auto index = index_of(kind);
        if (wants(index, revisions[index]) && !fetching_[index]) {
            fetching_[index] = true;
            net::EventLoop::spawn([this, peer, kind] {
                fetch_from(peer, kind);
                fetching_[index_of(kind)] = false;
            });
        }
    }
}

void DocumentService::fetch_from(const membership::MemberInfo& peer, DocumentKind kind) {
    const auto document = peers_.ask<Document>(peer.peer, DocumentRequest{kind}, kFetchTimeout);
    if (document && document->kind == kind && document->revision > 0) {
        offer(*document, "peer " + peer.id);
    }
}

}  // namespace anisehold::daemon
