#include "ragwortwinch/ctl/key_editor.h"
#include "ragwortwinch/ctl/line_diff.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

std::string resultOrError(const std::function<Result<std::string>()>& edit)
{
    return handleErrors(edit, [](const Error& error) { return error.message; });
}

TEST_CASE("adding or removing a key hash leaves the rest of the rules unchanged")
{
    std::string rules = "{\"rule\": \"team\", \"name\": \"riders\", \"keys\": []}, // Nok\n{\"rule\": "
                        "\"team\", \"name\": \"desk\", \"keys\": [\"aaaaaaaa1\", \"bbbbbbbb2\"]} // Ploy\n";
    std::string added = resultOrError([&] { return addKeyHash(rules, "riders", "cccccccc3"); });
    CHECK(added.find("\"riders\", \"keys\": [\"cccccccc3\"]}, // Nok") != std::string::npos);
    CHECK(resultOrError([&] {
        return addKeyHash(rules, "desk", "cccccccc3");
    }).find("[\"cccccccc3\", \"aaaaaaaa1\", \"bbbbbbbb2\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return removeKeyHash(rules, "aaaaaaaa");
    }).find("\"keys\": [\"bbbbbbbb2\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return removeKeyHash(rules, "bbbbbbbb");
    }).find("\"keys\": [\"aaaaaaaa1\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] { return removeKeyHash(added, "cccccccc"); }) == rules);
    CHECK(resultOrError([&] { return removeKeyHash(rules, "abc"); }).find("at least the first 8")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return addKeyHash(rules, "nobody", "c");
    }).find("no line has a team rule named `nobody`")
        != std::string::npos);
}

TEST_CASE("a diff lists removed and added lines in order")
{
    CHECK(diffLines("a\nb\nc\n", "a\nb\nc\n").empty());
    CHECK(diffLines("a\nb\nc\n", "a\nx\nc\nd\n") == std::vector<std::string>{"- b", "+ x", "+ d"});
}

} // namespace
} // namespace ragwortwinch
