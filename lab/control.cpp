#include "lab/control.hpp"

namespace anisehold::lab {

net::HttpResponse json_answer(unsigned status, const nlohmann::json& object) {
    return net::make_response(status, "application/json", object.dump());
}

net::HttpResponse apply_control(const net::HttpRequest& request,
                                const std::function<void(const nlohmann::json&)>& apply) {
    const auto object = nlohmann::json::parse(request.body.prefix, nullptr, false);
    if (!object.is_object()) {
        return json_answer(400, {{"error", "not a JSON object"}});
    }
    try {
        apply(object);
    } catch (const nlohmann::json::exception& error) {
        return json_answer(400, {{"error", error.what()}});
    }
    return json_answer(200, {{"applied", object}});
}

}  // namespace anisehold::lab
