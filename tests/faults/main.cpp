#include "cell.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

/// \file
/// \brief Runs the fault matrix on the decision core and writes docs/FAULTS.md.

using namespace plumdale::faults;
using plumdale::coordination::safeguard;
using plumdale::coordination::safeguard_set;

namespace
{

/// \brief Command line options.
struct options
{
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 0;
    std::string only;
    std::string page;
    /// \brief File with a line for each process test: `pass NAME` or `fail NAME`.
    std::string processes;
    safeguard_set safeguards;
};

/// \brief The result of a cell.
struct outcome
{
    cell const* tested_cell = nullptr;
    std::uint64_t seeds = 0;
    std::uint64_t failed = 0;
    std::uint64_t first_bad_seed = 0;
    std::string first_violation;
};

std::string name_of(cell const& each)
{
    return each.step + "/" + each.fault;
}

outcome run(cell const& each, options const& asked)
{
    outcome result{&each, 0, 0, 0, {}};
    for (std::uint64_t i = 0; each.run && i < asked.seeds; ++i)
    {
        std::uint64_t const seed = asked.first_seed + i;
        violations const broken = each.run(seed, asked.safeguards);
        ++result.seeds;
        if (broken.empty())
        {
            continue;
        }
        if (result.failed++ == 0)
        {
            result.first_bad_seed = seed;
            result.first_violation = broken.front();
        }
    }
    return result;
}

std::string result_text(outcome const& each)
{
    if (each.tested_cell->run == nullptr)
    {
        return each.tested_cell->elsewhere.empty() ? "not run" : each.tested_cell->elsewhere;
    }
    std::string const total = std::to_string(each.seeds);
    return each.failed == 0 ? "ok " + total
                            : "**" + std::to_string(each.failed) + " of " + total + "**";
}

/// \brief Writes one table: a row for each fault, a column for each step.
void write_table(std::ostream& page, std::vector<outcome> const& outcomes)
{
    std::vector<std::string> step_names;
    std::vector<std::string> fault_names;
    std::map<std::string, std::string> marks;
    for (outcome const& each : outcomes)
    {
        cell const& tested_cell = *each.tested_cell;
        if (std::find(step_names.begin(), step_names.end(), tested_cell.step) == step_names.end())
        {
            step_names.push_back(tested_cell.step);
        }
        if (std::find(fault_names.begin(), fault_names.end(), tested_cell.fault) ==
            fault_names.end())
        {
            fault_names.push_back(tested_cell.fault);
        }
        marks[name_of(tested_cell)] = result_text(each);
    }
    page << "| fault |";
    for (std::string const& step : step_names)
    {
        page << ' ' << step << " |";
    }
    page << "\n|---|";
    for (std::size_t i = 0; i < step_names.size(); ++i)
    {
        page << "---|";
    }
    page << '\n';
    for (std::string const& fault : fault_names)
    {
        page << "| " << fault << " |";
        for (std::string const& step : step_names)
        {
            auto const found = marks.find(step + "/" + fault);
            page << ' ' << (found == marks.end() ? "–" : found->second) << " |";
        }
        page << '\n';
    }
    page << '\n';
}

std::uint64_t failed_cells(std::vector<outcome> const& outcomes)
{
    std::uint64_t failed = 0;
    for (outcome const& each : outcomes)
    {
        failed += each.failed != 0 ? 1 : 0;
        if (each.failed != 0)
        {
            std::printf(
                "%s: %llu of %llu seeds fail, first %llu: %s\n", name_of(*each.tested_cell).c_str(),
                static_cast<unsigned long long>(each.failed),
                static_cast<unsigned long long>(each.seeds),
                static_cast<unsigned long long>(each.first_bad_seed), each.first_violation.c_str());
        }
    }
    return failed;
}

std::vector<outcome> run_all(std::vector<cell> const& cells, options const& asked)
{
    std::vector<outcome> outcomes;
    for (cell const& each : cells)
    {
        if (asked.only.empty() || name_of(each) == asked.only)
        {
            outcomes.push_back(run(each, asked));
        }
    }
    return outcomes;
}

void list_safeguards()
{
    for (std::size_t i = 0; i < plumdale::coordination::safeguard_count; ++i)
    {
        std::cout << safeguard_name(static_cast<safeguard>(i)) << '\n';
    }
}

/// \brief Numbers of cells that passed and failed.
struct totals
{
    std::uint64_t passed = 0;
    std::uint64_t failed = 0;
};

/// \brief Writes the cells on processes, with the results of their tests from `file`.
totals write_processes(std::ostream& page, std::string const& file)
{
    std::map<std::string, bool> results;
    std::ifstream lines{file};
    for (std::string word, name; lines >> word && std::getline(lines >> std::ws, name);)
    {
        results[name] = word == "pass";
    }
    totals result;
    page << "## Processes\n\nTests of `test_system` with SIGKILL, SIGSTOP and a relay that cuts or "
            "swallows.\n\n| step | fault | test | result |\n|---|---|---|---|\n";
    for (process_cell const& each : process_cells())
    {
        auto const found = results.find(std::string{each.test});
        bool const ran = found != results.end();
        std::string const mark = !ran ? "not run" : found->second ? "ok" : "**failed**";
        result.passed += ran && found->second ? 1 : 0;
        result.failed += ran && !found->second ? 1 : 0;
        page << "| " << each.step << " | " << each.fault << " | " << each.test << " | " << mark
             << " |\n";
    }
    page << '\n';
    return result;
}

int run_matrix(options const& asked)
{
    struct part
    {
        std::string title;
        std::vector<cell> cells;
        std::uint64_t seeds;
    };
    std::vector<part> const parts{
        {"Requests", request_cells(), 64},
        {"Requests, two faults at once", request_pair_cells(), 8},
        {"Presets, members and orders", control_cells(), 16},
    };
    std::ofstream file;
    if (!asked.page.empty())
    {
        file.open(asked.page);
    }
    std::ostream& page = asked.page.empty() ? std::cout : file;
    page << "# Fault matrix\n\nWritten by `scripts/faults`. Each cell: the number of seeds run on "
            "the decision core, and in bold how many broke a promise. A dash is a cell that is not "
            "run.\n\n";
    std::uint64_t passed = 0;
    std::uint64_t failed = 0;
    std::uint64_t seeds = 0;
    for (part const& each : parts)
    {
        options part_options = asked;
        part_options.seeds = asked.seeds == 0 ? each.seeds : asked.seeds;
        std::vector<outcome> const outcomes = run_all(each.cells, part_options);
        page << "## " << each.title << "\n\n";
        write_table(page, outcomes);
        std::uint64_t const failed_here = failed_cells(outcomes);
        failed += failed_here;
        for (outcome const& one : outcomes)
        {
            passed += one.failed == 0 && one.seeds != 0 ? 1 : 0;
            seeds += one.seeds;
        }
    }
    totals const processes = write_processes(page, asked.processes);
    passed += processes.passed;
    failed += processes.failed;
    page << "Seeds run: " << seeds << ".\n";
    std::printf("%llu seeds run\n%llu passed, %llu failed\n",
                static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(passed),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line{"Runs the fault matrix on the decision core", ' ', "0.1"};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "First seed", false, 1, "number", line};
    TCLAP::ValueArg<std::uint64_t> seeds{"",       "seeds", "Seeds for each cell", false, 0,
                                         "number", line};
    TCLAP::ValueArg<std::string> only{"", "cell", "One cell: step/fault", false, "", "name", line};
    TCLAP::ValueArg<std::string> page{"", "page", "File to write", false, "", "file", line};
    TCLAP::ValueArg<std::string> off{
        "", "safeguard-off", "Turn one safeguard off", false, "", "name", line};
    TCLAP::ValueArg<std::string> processes{
        "", "processes", "Results of process tests", false, "", "file", line};
    TCLAP::SwitchArg list_processes{"", "list-processes", "Print the process tests", line};
    TCLAP::SwitchArg list{"", "list-safeguards", "Print the safeguards", line};
    line.parse(argc, argv);
    if (list.getValue())
    {
        list_safeguards();
        return 0;
    }
    if (list_processes.getValue())
    {
        for (process_cell const& each : process_cells())
        {
            std::cout << each.test << '\n';
        }
        return 0;
    }
    options asked{seed.getValue(), seeds.getValue(),     only.getValue(),
                  page.getValue(), processes.getValue(), {}};
    if (off.isSet())
    {
        safeguard const which = plumdale::coordination::safeguard_from_name(off.getValue());
        if (which == safeguard::count)
        {
            std::cerr << "faults: no safeguard is named " << off.getValue() << '\n';
            return 2;
        }
        asked.safeguards = asked.safeguards.without(which);
    }
    return run_matrix(asked);
}
