#include "claims/holder_view.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "routing/rendezvous.hpp"

namespace anisehold::claims {
namespace {

using nlohmann::json;

std::size_t zone_count(const std::vector<Holder>& holders) {
    std::set<std::string> zones;
    for (const auto& holder : holders) {
        zones.insert(holder.zone);
    }
    return zones.size();
}

json to_json(const std::vector<Holder>& holders) {
    json array = json::array();
    for (const auto& holder : holders) {
        array.push_back({{"id", holder.id}, {"boot_id", holder.boot_id}, {"zone", holder.zone}});
    }
    return array;
}

bool parse_holders(const json& array, std::vector<Holder>& holders) {
    if (!array.is_array()) {
        return false;
    }
    for (const auto& element : array) {
        const bool shaped = element.is_object() && element.contains("id") && element["id"].is_string() &&
                            element.contains("boot_id") && element["boot_id"].is_number_unsigned() &&
                            element.contains("zone") && element["zone"].is_string();
        if (!shaped) {
            return false;
        }
        holders.push_back({element["id"].get<std::string>(), element["boot_id"].get<std::uint64_t>(),
                           element["zone"].get<std::string>()});
    }
    return true;
}

std::vector<std::string> ids_of(const std::vector<Holder>& holders) {
    std::vector<std::string> ids;
    ids.reserve(holders.size());
    for (const auto& holder : holders) {
        ids.push_back(holder.id);
    }
    return ids;
}

}  // namespace

std::vector<Holder> holders_of_key(const std::vector<Holder>& holders, std::string_view key) {
    const auto order = routing::rendezvous_order(ids_of(holders), key);
    std::vector<Holder> picked;
    std::vector<Holder> remaining;
    std::set<std::string> zones;
    for (const auto index : order) {
        const bool new_zone = picked.size() < kHoldersPerKey && zones.insert(holders[index].zone).second;
        (new_zone ? picked : remaining).push_back(holders[index]);
    }
    for (const auto& holder : remaining) {
        if (picked.size() < kHoldersPerKey) {
            picked.push_back(holder);
        }
    }
    return picked;
}

bool can_reconstruct_grants(const std::vector<Holder>& holders, const std::vector<Holder>& missing) {
    const std::size_t per_key = std::min(kHoldersPerKey, holders.size());
    // With enough zones, the holders of a key are in different zones.
    const bool zones_differ = zone_count(holders) >= kHoldersPerKey;
    const std::size_t max_missing = zones_differ ? zone_count(missing) : missing.size();
    return max_missing < majority_of(per_key);
}

std::vector<Holder> choose_holders(const std::vector<Holder>& current, const std::vector<Holder>& working,
                                   std::size_t per_zone) {
    std::vector<Holder> chosen;
    std::map<std::string, std::size_t> num_in_zone;
    const auto is_in = [](const std::vector<Holder>& holders, const Holder& holder) {
        return std::find(holders.begin(), holders.end(), holder) != holders.end();
    };
    const auto take = [&](const Holder& holder) {
        if (num_in_zone[holder.zone] < per_zone && !is_in(chosen, holder)) {
            ++num_in_zone[holder.zone];
            chosen.push_back(holder);
        }
    };
    for (const auto& holder : current) {
        if (is_in(working, holder)) {
            take(holder);
        }
    }
    auto sorted = working;
    std::sort(sorted.begin(), sorted.end(),
              [](const Holder& left, const Holder& right) { return left.id < right.id; });
    for (const auto& holder : sorted) {
        take(holder);
    }
    return chosen;
}

std::string to_json_text(const HolderView& view) {
    const json object{
        {"epoch", view.epoch}, {"holders", to_json(view.holders)}, {"previous", to_json(view.previous)}};
    return object.dump();
}

bool parse_holder_view(std::string_view json_text, HolderView& view) {
    const auto object = json::parse(json_text, nullptr, false);
    const bool shaped = object.is_object() && object.contains("epoch") &&
                        object["epoch"].is_number_unsigned() && object.contains("holders") &&
                        object.contains("previous");
    if (!shaped) {
        return false;
    }
    view.epoch = object["epoch"].get<std::uint64_t>();
    return parse_holders(object["holders"], view.holders) && parse_holders(object["previous"], view.previous);
}

}  // namespace anisehold::claims
