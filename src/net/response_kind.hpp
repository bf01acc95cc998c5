/// @file
/// What the header of a response is by its status. Pure; the only place that decides which responses are
/// taken for the answer to a request, whoever sent them: servers, peers or the store.
#pragma once

namespace anisehold::net {

enum class ResponseKind {
    kFinal,    ///< Answers the request.
    kInterim,  ///< Precedes the final response (RFC 9110, 15.2).
    kInvalid,  ///< No response in HTTP: it says nothing, not even that the request hasn't run.
};

/// Classifies a response by its status. 101 is invalid because no request asks to switch protocols.
constexpr ResponseKind classify_status(unsigned status) {
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned end = 600;
    if (status < first_interim || status >= end || status == switching_protocols) {
        return ResponseKind::kInvalid;
    }
    return status < first_final ? ResponseKind::kInterim : ResponseKind::kFinal;
}

}  // namespace anisehold::net
