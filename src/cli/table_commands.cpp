#include "cli/table_commands.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <iostream>

#include "cli/admin_client.hpp"
#include "cli/exit_status.hpp"
#include "cli/settings_options.hpp"
#include "config/csv.hpp"
#include "config/table.hpp"
#include "store/etcd_store.hpp"

namespace anisehold::cli {
namespace {

using store::AcceptOutcome;

/// Timeout of one call to the store.
constexpr milliseconds kStoreTimeout{3'000};
/// Maximum time for which `--wait` waits for all members, and pause between two requests to a member.
constexpr seconds kInForceTimeout{30};
constexpr milliseconds kInForcePoll{10};

std::string default_author() {
    const char* user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

void print_changes(const std::vector<config::CellChange>& changes) {
    for (const auto& change : changes) {
        std::cout << "  " << change.row << "." << change.column << ": \"" << change.before << "\" -> \""
                  << change.after << "\"\n";
    }
}

void print_grid(const config::Table& table) {
    std::vector<std::size_t> widths;
    for (const auto column : config::kTableColumns) {
        std::size_t width = column.size();
        for (const auto& row : table.rows) {
            width = std::max(width, config::cell_text(row, column).size());
        }
        widths.push_back(width);
    }
    const auto print_cell = [&](std::size_t index, std::string_view text) {
        std::cout << text << std::string(widths[index] - text.size() + 2, ' ');
    };
    for (std::size_t index = 0; index < config::kTableColumns.size(); ++index) {
        print_cell(index, config::kTableColumns[index]);
    }
    std::cout << "\n";
    for (const auto& row : table.rows) {
        for (std::size_t index = 0; index < config::kTableColumns.size(); ++index) {
            print_cell(index, config::cell_text(row, config::kTableColumns[index]));
        }
        std::cout << "\n";
    }
}

/// Splits "ROW.COLUMN=VALUE"; the row's name may contain dots.
bool split_cell(const std::string& text, std::string& row, std::string& column, std::string& value) {
    const auto equals = text.find('=');
    const auto dot = equals == std::string::npos ? equals : text.rfind('.', equals);
    if (dot == std::string::npos) {
        return false;
    }
    row = text.substr(0, dot);
    column = text.substr(dot + 1, equals - dot - 1);
    value = text.substr(equals + 1);
    return true;
}

/// Loads the table from the store. On failure, prints a message and returns nothing.
std::optional<store::StoredTable> load(store::TableStore& tables) {
    std::error_code error;
    auto stored = tables.load(error);
    if (!stored) {
        std::cerr << "the store gave no table: " << error.message() << "\n";
    }
    return stored;
}

}  // namespace

void TableCommands::add_to(CLI::App& app) {
    author_ = default_author();
    command_ = app.add_subcommand("table", "Show, change and accept the table");
    command_->require_subcommand(1);
    command_->add_option("--store", stores_, "Address of the store, IP:PORT; may be given several times")
        ->required();
    command_->add_option("--daemon", daemon_, "Admin address of a daemon, IP:PORT; for --wait");
    command_->add_option("--author", author_, "Name to keep with a change");
    command_->add_flag("--wait", wait_, "After a change, wait until it is in force at every member");
    command_->add_subcommand("show", "Print the table");
    export_ = command_->add_subcommand("export", "Print the table as CSV");
    set_ = command_->add_subcommand("set", "Change cells and accept the change");
    set_->add_option("cells", cells_, "ROW.COLUMN=VALUE")->required();
    accept_ = command_->add_subcommand("accept", "Accept a CSV file as the table");
    accept_->add_option("file", file_, "CSV file")->required();
    history_ = command_->add_subcommand("history", "Print accepted changes, newest first");
    history_->add_option("--limit", history_limit_, "Most changes to print");
    outcome_ = command_->add_subcommand("outcome", "Tell whether a change was accepted");
    outcome_->add_option("change", change_id_, "Change id")->required();
}

int TableCommands::run(net::EventLoop& loop) {
    loop_ = &loop;
    std::vector<Endpoint> endpoints;
    for (const auto& text : stores_) {
        const auto endpoint = parse_endpoint(text);
        if (!endpoint) {
            std::cerr << "--store: \"" << text << "\" is not IP:PORT with a numeric address\n";
            return kExitUsage;
        }
        endpoints.push_back(*endpoint);
    }
    store::EtcdStore store(loop.io(), endpoints, kStoreTimeout);
    store::TableStore tables(store);
    if (set_->parsed()) {
        return set_cells(tables);
    }
    if (accept_->parsed()) {
        return accept_file(tables);
    }
    if (history_->parsed()) {
        return show_history(tables);
    }
    if (outcome_->parsed()) {
        return show_outcome(tables);
    }
    return show(tables, export_->parsed());
}

int TableCommands::show(store::TableStore& tables, bool as_csv) {
    const auto stored = load(tables);
    if (!stored) {
        return kExitFailure;
    }
    if (as_csv) {
        std::cout << config::to_csv(stored->record.table);
        return kExitSuccess;
    }
    print_grid(stored->record.table);
    std::cout << "revision " << stored->revision << ", change " << stored->record.change_id << " by "
              << stored->record.author << " at " << stored->record.accepted_at << "\n";
    return kExitSuccess;
}

int TableCommands::set_cells(store::TableStore& tables) {
    const auto base = load(tables);
    if (!base) {
        return kExitFailure;
    }
    auto edited = base->record.table;
    for (const auto& cell : cells_) {
        std::string row;
        std::string column;
        std::string value;
        if (!split_cell(cell, row, column, value)) {
            std::cerr << "\"" << cell << "\" is not ROW.COLUMN=VALUE\n";
            return kExitUsage;
        }
        if (const auto problem = config::set_cell(edited, row, column, value)) {
            std::cerr << problem->text() << "\n";
            return kExitUsage;
        }
    }
    return report(tables.accept(*base, edited, author_));
}

int TableCommands::accept_file(store::TableStore& tables) {
    std::string text;
    if (!read_file(file_, text)) {
        std::cerr << file_ << ": can't be read\n";
        return kExitUsage;
    }
    const auto parsed = config::parse_table_csv(text);
    for (const auto& problem : parsed.errors) {
        std::cerr << file_ << ": " << problem.text() << "\n";
    }
    if (!parsed.errors.empty()) {
        return kExitUsage;
    }
    const auto base = load(tables);
    if (!base) {
        return kExitFailure;
    }
    return report(tables.accept(*base, parsed.table, author_));
}

int TableCommands::report(const store::AcceptResult& result) {
    switch (result.outcome) {
        case AcceptOutcome::kAccepted:
            std::cout << "accepted: change " << result.change_id << ", revision " << result.revision
                      << (result.rebased ? " (onto another operator's change)" : "") << "\n";
            print_changes(result.changes);
            return wait_ ? wait_until_in_force(result.revision) : kExitSuccess;
        case AcceptOutcome::kUnchanged:
            std::cout << "nothing to change\n";
            return kExitSuccess;
        case AcceptOutcome::kCollision:
            std::cout << "not accepted: another operator changed the same cells (their value -> yours)\n";
            print_changes(result.collisions);
            return kExitFailure;
        case AcceptOutcome::kUnknown:
            std::cout << "unknown: the store gave no answer; ask later with: table outcome "
                      << result.change_id << "\n";
            return kExitFailure;
        case AcceptOutcome::kUnreachable:
            std::cout << "not accepted: the store can't be reached; nothing was written\n";
            return kExitFailure;
        case AcceptOutcome::kBadTable:
            for (const auto& error : result.errors) {
                std::cout << "not accepted: " << error.text() << "\n";
            }
            return kExitFailure;
    }
    return kExitFailure;
}

std::optional<Endpoint> TableCommands::daemon_endpoint() const {
    auto endpoint = parse_endpoint(daemon_);
    if (!endpoint) {
        std::cerr << "--wait needs --daemon IP:PORT\n";
    }
    return endpoint;
}

int TableCommands::wait_until_in_force(std::uint64_t revision) {
    const auto first = daemon_endpoint();
    if (!first) {
        return kExitUsage;
    }
    const auto started = TimePoint::clock::now();
    const auto fleet = fetch_json(loop_->io(), *first, "/status");
    if (!fleet) {
        return kExitFailure;
    }
    for (const auto& member : fleet->at("members")) {
        const auto admin = parse_endpoint(member.at("admin").get<std::string>());
        const auto state = member.at("state").get<std::string>();
        bool in_force = !admin || state == "dead" || state == "left";
        while (!in_force) {
            const auto status = fetch_json(loop_->io(), *admin, "/status");
            in_force = status && status->at("table_revision").get<std::uint64_t>() >= revision;
            if (!in_force && TimePoint::clock::now() - started > kInForceTimeout) {
                std::cout << "not yet in force at " << member.at("id").get<std::string>() << "\n";
                return kExitFailure;
            }
            if (!in_force) {
                boost::this_fiber::sleep_for(kInForcePoll);
            }
        }
        std::cout << "in force at " << member.at("id").get<std::string>() << " (zone "
                  << member.at("zone").get<std::string>() << ") after "
                  << to_milliseconds(TimePoint::clock::now() - started) << " ms\n";
    }
    return kExitSuccess;
}

int TableCommands::show_history(store::TableStore& tables) {
    std::error_code error;
    const auto entries = tables.history(history_limit_, error);
    if (!entries) {
        std::cerr << "the store gave no history: " << error.message() << "\n";
        return kExitFailure;
    }
    for (const auto& entry : *entries) {
        std::cout << entry.sequence << " " << entry.accepted_at << " " << entry.change_id << " by "
                  << entry.author << "\n";
        print_changes(entry.changes);
    }
    return kExitSuccess;
}

int TableCommands::show_outcome(store::TableStore& tables) {
    std::error_code error;
    const auto entry = tables.find_change(change_id_, error);
    if (error) {
        std::cerr << "the store gave no history: " << error.message() << "\n";
        return kExitFailure;
    }
    if (!entry) {
        std::cout << "not accepted (or older than the history)\n";
        return kExitFailure;
    }
    std::cout << "accepted as number " << entry->sequence << " at " << entry->accepted_at << "\n";
    print_changes(entry->changes);
    return kExitSuccess;
}

}  // namespace anisehold::cli
