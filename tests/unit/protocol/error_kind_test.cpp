#include "protocol/error_kind.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace anisehold;

TEST_CASE("the error table has one row per kind, in order, with distinct names and event numbers") {
    int value = 1;
    std::set<std::string_view> names;
    std::set<unsigned> events;
    for (const auto& answer : error_answers()) {
        CHECK(static_cast<int>(answer.kind) == value++);
        CHECK(names.insert(answer.name).second);
        CHECK(events.insert(answer.event_number).second);
        CHECK(answer.http_status >= 400);
        CHECK(error_kind_from_name(answer.name) == answer.kind);
    }
    CHECK(value - 1 == static_cast<int>(ErrorKind::kMemoryFull));
    CHECK_FALSE(error_kind_from_name("no-such-kind"));
}

TEST_CASE("an error kind is a std::error_code with its title") {
    const std::error_code code = ErrorKind::kNoTable;
    CHECK(code.message() == "This daemon has no table yet");
    CHECK(code.category() == error_kind_category());
}
