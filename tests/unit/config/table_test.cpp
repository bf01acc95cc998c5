#include "config/table.hpp"

#include <catch2/catch.hpp>

using namespace anisehold::config;

namespace {

constexpr const char* kHeader = "name,kind,match,priority,weight,limit,timeout_ms,retries,repeatable\n";

std::string only_error(const std::string& rows) {
    const auto result = parse_table_csv(kHeader + rows);
    REQUIRE(result.errors.size() == 1);
    return result.errors.front().text();
}

Table sample_table() {
    return parse_table_csv(std::string(kHeader) +
                           "bookings,service,,1,1,15,3000,1,yes\n"
                           "book,request,POST bookings /bookings,1,2,0,3000,2,no\n")
        .table;
}

}  // namespace

TEST_CASE("a table round-trips through CSV and JSON") {
    const auto table = sample_table();
    REQUIRE(table.rows.size() == 2);
    CHECK(parse_table_csv(to_csv(table)).table == table);
    const TableRecord record{3, "id", "an \"author\"", "now", table};
    const auto parsed = parse_table_record(to_json_text(record));
    REQUIRE(parsed.errors.empty());
    CHECK(parsed.record.table == table);
    CHECK(parsed.record.author == record.author);
}

TEST_CASE("an invalid cell is rejected with line, row and column") {
    CHECK(only_error("a,service,,10,1,0,1000,0,yes\n") ==
          "line 2, row \"a\", column \"priority\": \"10\" is not a whole number from 0 to 9");
    CHECK(only_error("a,service,,1,0,0,1000,0,yes\n").find("column \"weight\"") != std::string::npos);
    CHECK(only_error("a,service,,1,1,-1,1000,0,yes\n").find("column \"limit\"") != std::string::npos);
    CHECK(only_error("a,service,,1,1,0,0,0,yes\n").find("column \"timeout_ms\"") != std::string::npos);
    CHECK(only_error("a,service,,1,1,0,1000,11,yes\n").find("column \"retries\"") != std::string::npos);
    CHECK(only_error("a,service,,1,1,0,1000,0,maybe\n").find("column \"repeatable\"") != std::string::npos);
    CHECK(only_error("a,service,,1,1,0,1000,0\n") == "line 2, row \"a\", column \"\": has 8 cells, not 9");
    CHECK(only_error("a,service,,1,1,0,1000,0,yes\na,service,,1,1,0,1000,0,yes\n") ==
          "row \"a\", column \"name\": stands twice");
    CHECK(only_error("a,service,,1,1,0,1000,0,yes\nb,request,GET c /x,1,1,0,1000,0,yes\n") ==
          "row \"b\", column \"match\": service \"c\" has no row");
}

TEST_CASE("unknown, duplicate and missing columns are rejected") {
    CHECK(parse_table_csv("name,colour\nx,red\n").errors.front().text() ==
          "line 1, row \"header\", column \"colour\": is not a column");
    CHECK(parse_table_csv("").errors.front().message == "the table is empty");
    CHECK_FALSE(parse_table_csv(std::string("name,") + kHeader).errors.empty());
}

TEST_CASE("a cell is set by row and column") {
    auto table = sample_table();
    CHECK_FALSE(set_cell(table, "book", "retries", "1"));
    CHECK(table.find("book")->retries == 1);
    CHECK(set_cell(table, "book", "retries", "x")->text().find("row \"book\", column \"retries\"") == 0);
    CHECK(set_cell(table, "nobody", "retries", "1"));
    CHECK(table.find("book")->retries == 1);
}

TEST_CASE("changed cells include added and removed rows") {
    const auto before = sample_table();
    auto after = before;
    after.rows.pop_back();
    after.rows.front().limit = 20;
    const auto changes = changed_cells(before, after);
    CHECK(changes.front() == CellChange{"bookings", "limit", "15", "20"});
    CHECK(changes.size() == 1 + kTableColumns.size());
}

TEST_CASE("malformed table records are rejected without a crash") {
    const std::string head = R"({"sequence":1,"change_id":"","author":"","accepted_at":"","rows":)";
    for (const auto& text : {std::string(), std::string("[]"), std::string("{}"),
                             std::string(R"({"rows":3})"), head + "[3]}", head + R"([{"name":3}]})"}) {
        CHECK_FALSE(parse_table_record(text).errors.empty());
    }
}
