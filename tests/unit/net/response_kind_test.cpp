#include "net/response_kind.hpp"

#include <catch2/catch.hpp>
#include <map>

using anisehold::net::classify_status;
using anisehold::net::ResponseKind;

TEST_CASE("a status is final, interim, or none that HTTP has") {
    const std::map<unsigned, ResponseKind> kinds{
        {0, ResponseKind::kInvalid},   {1, ResponseKind::kInvalid},   {99, ResponseKind::kInvalid},
        {100, ResponseKind::kInterim}, {101, ResponseKind::kInvalid}, {102, ResponseKind::kInterim},
        {103, ResponseKind::kInterim}, {199, ResponseKind::kInterim}, {200, ResponseKind::kFinal},
        {204, ResponseKind::kFinal},   {302, ResponseKind::kFinal},   {421, ResponseKind::kFinal},
        {503, ResponseKind::kFinal},   {599, ResponseKind::kFinal},   {600, ResponseKind::kInvalid},
        {999, ResponseKind::kInvalid},
    };
    for (const auto& [status, kind] : kinds) {
        CAPTURE(status);
        CHECK(classify_status(status) == kind);
    }
}
