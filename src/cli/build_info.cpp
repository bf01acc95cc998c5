#include "cli/build_info.hpp"

#include <boost/version.hpp>

#include "build_identity.hpp"
#include "observability/events.hpp"

namespace anisehold::cli {
namespace {

constexpr std::string_view architecture() {
#if defined(__x86_64__)
    return "x86-64";
#elif defined(__aarch64__)
    return "arm64";
#else
    return "other";
#endif
}

constexpr bool is_sanitized() {
#if defined(__SANITIZE_ADDRESS__)
    return true;
#else
    return false;
#endif
}

}  // namespace

BuildInfo build_info() {
    return {ANISEHOLD_VERSION, identity::kCommit, identity::kSourceDigest, ANISEHOLD_BUILD_TYPE,
            __VERSION__,       BOOST_LIB_VERSION, architecture(),          is_sanitized()};
}

std::string text_of(const BuildInfo& info) {
    const auto field = [](std::string_view name, std::string_view value) {
        return ", " + std::string(name) + " " + std::string(value);
    };
    return "anisehold " + std::string(info.version) + field("commit", info.commit) +
           field("sources", info.source_digest) + field("build", info.build_type) +
           field("compiler", info.compiler) + field("boost", info.boost) + field("for", info.architecture) +
           (info.is_sanitized ? ", sanitized" : "");
}

void log_build_info() {
    const auto info = build_info();
    observability::log_event(observability::Event::kBuild, {{"version", std::string(info.version)},
                                                            {"commit", std::string(info.commit)},
                                                            {"sources", std::string(info.source_digest)},
                                                            {"type", std::string(info.build_type)},
                                                            {"compiler", std::string(info.compiler)},
                                                            {"boost", std::string(info.boost)},
                                                            {"architecture", std::string(info.architecture)},
                                                            {"sanitized", info.is_sanitized ? "yes" : "no"}});
}

}  // namespace anisehold::cli
