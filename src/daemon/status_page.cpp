#include "daemon/status_page.hpp"

namespace anisehold::daemon {
namespace {

using nlohmann::ordered_json;

ordered_json members_json(const MembershipService& membership) {
    ordered_json list = ordered_json::array();
    for (const auto& record : membership.records()) {
        list.push_back({{"id", record.info.id},
                        {"zone", record.info.zone},
                        {"state", membership::member_state_name(record.state)},
                        {"incarnation", record.incarnation},
                        {"admin", record.info.admin.text()}});
    }
    return list;
}

ordered_json gates_json(const GateService& gates, const routing::BackendRegistry& registry) {
    ordered_json list = ordered_json::array();
    for (const auto& gate : gates.status()) {
        const auto* listed = registry.find(gate.server);
        list.push_back({{"server", gate.server.text()},
                        {"service", listed == nullptr ? "" : listed->service},
                        {"in_flight", gate.load.in_flight},
                        {"queued", gate.load.queued},
                        {"limit", gate.load.limit},
                        {"admitted_priority", gate.admitted_priority},
                        {"connections", gate.open_connections}});
    }
    return list;
}

ordered_json servers_json(const routing::BackendRegistry& registry) {
    const auto now = TimePoint::clock::now();
    ordered_json list = ordered_json::array();
    for (const auto& server : registry.servers()) {
        list.push_back({{"server", server.endpoint.text()},
                        {"service", server.service},
                        {"zone", server.zone},
                        {"leaving", registry.is_leaving(now, server.endpoint)},
                        {"ejected", registry.is_ejected(now, server.endpoint)}});
    }
    return list;
}

}  // namespace

ordered_json status_json(const StatusSources& sources, bool stopping) {
    const auto& context = sources.context;
    const auto table = sources.documents.table();
    const auto& holder = sources.claims.holder();
    return {{"id", context.self.id},
            {"zone", context.self.zone},
            {"stopping", stopping},
            {"calls_in_flight", sources.gates.calls_in_flight()},
            {"control_bytes", context.control_bytes},
            {"table_revision", table ? table->revision() : 0},
            {"change_id", table ? table->record().change_id : ""},
            {"store_reader", sources.documents.is_store_reader()},
            {"holder_epoch", sources.documents.holder_view().epoch},
            {"claims_serving", holder.serving()},
            {"claims_held", holder.size()},
            {"members", members_json(sources.membership)},
            {"gates", gates_json(sources.gates, sources.registry)},
            {"servers", servers_json(sources.registry)}};
}

}  // namespace anisehold::daemon
