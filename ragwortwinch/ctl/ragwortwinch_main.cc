// The operators' command-line tool.
#include "ragwortwinch/ctl/commands.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;

std::string defaultAdmin()
{
    const char* fromEnvironment = std::getenv("RAGWORTWINCH_ADMIN");
    return fromEnvironment ? fromEnvironment : "127.0.0.1:8200";
}

void printHelp(const options::options_description& description)
{
    std::cout
        << "ragwortwinch: operates a ragwortwinch system through any of its nodes\n\n"
        << "usage: ragwortwinch COMMAND [options]\n\ncommands:\n"
        << ragwortwinch::commandHelp() << '\n'
        << description
        << "\nexit codes: 0 done, 1 failed or findings, 2 wrong usage, 3 invalid rules or unreadable input,\n"
           "            4 conflict with another change\n";
}

} // namespace

int main(int argc, char** argv)
{
    ragwortwinch::CommandOptions given;
    std::string command;
    options::options_description visible("options");
    visible.add_options()("help", "show this text")("admin",
        options::value(&given.admin)->default_value(defaultAdmin()),
        "operators' port of a node; also from RAGWORTWINCH_ADMIN")("team", options::value(&given.team),
        "the team that a new key is for")("expected-version", options::value(&given.expectedVersion),
        "for apply: the version that the file was made from")("against", options::value(&given.against),
        "for check: a file to compare with, or `in-force` for what the node has")(
        "format", options::value(&given.format)->default_value(given.format), "for check: `text` or `json`");
    options::options_description all;
    all.add(visible).add_options()("command", options::value(&command))(
        "words", options::value(&given.arguments));
    options::positional_options_description positions;
    positions.add("command", 1).add("words", -1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        options::notify(values);
    } catch (const options::error& failure) {
        std::cerr << failure.what() << "; see ragwortwinch --help" << std::endl;
        return ragwortwinch::exitUsage;
    }
    if (values.contains("help") || command.empty()) {
        printHelp(visible);
        return values.contains("help") ? ragwortwinch::exitOk : ragwortwinch::exitUsage;
    }
    return ragwortwinch::runCommand(command, given);
}
