#include "core/core.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

constexpr std::size_t maximumDocumentBytes = 65536;

struct expected_failure
{
    std::string document;
    result_code code;
    std::string pointer;
};

/** Checks a document against a sample schema and returns the failures. */
std::vector<failure> check(const std::string &document)
{
    const auto parsed = json_checker::parse(document, maximumDocumentBytes);
    if (!parsed) {
        return parsed.failures();
    }

    std::vector<failure> failures;
    json_checker root(*parsed, failures);
    if (root.checkObject({"name", "count"}, {"share", "on", "address", "list", "mode"})) {
        root.member("name").identifier(8);
        root.member("count").integer(1, 10);
        root.member("share").number(0.0, 1.0);
        root.member("on").boolean();
        root.member("address").address();
        root.member("mode").oneOf({"normal", "urgent"});
        for (json_checker &element : root.member("list").elements(1, 2)) {
            element.text(0, 3);
        }
    }
    return failures;
}

} // namespace

// Guards against errors that are not detected, or are reported with the wrong pointer or code.
TEST_CASE("each error is reported with its code and JSON pointer")
{
    const auto expected = GENERATE(values<expected_failure>({
        {"{", result_code::malformed_json, ""},
        {"", result_code::malformed_json, ""},
        {"{} {}", result_code::malformed_json, ""},
        {R"({"name":"a\u0000","count":1})", result_code::invalid_value, "/name"},
        {"{\"name\":\"\xff\",\"count\":1}", result_code::malformed_json, ""},
        {R"({"name":"a","count":1e999})", result_code::malformed_json, ""},
        {"[]", result_code::wrong_type, ""},
        {R"({"count":1})", result_code::missing_key, "/name"},
        {R"({"name":"a","count":1,"x/~y":0})", result_code::unknown_key, "/x~1~0y"},
        {R"({"name":1,"count":1})", result_code::wrong_type, "/name"},
        {R"({"name":"","count":1})", result_code::out_of_range, "/name"},
        {R"({"name":"123456789","count":1})", result_code::out_of_range, "/name"},
        {R"({"name":"-a","count":1})", result_code::invalid_value, "/name"},
        {R"({"name":"a b","count":1})", result_code::invalid_value, "/name"},
        {R"({"name":"a","count":1.0})", result_code::wrong_type, "/count"},
        {R"({"name":"a","count":0})", result_code::out_of_range, "/count"},
        {R"({"name":"a","count":-1})", result_code::out_of_range, "/count"},
        {R"({"name":"a","count":18446744073709551615})", result_code::out_of_range, "/count"},
        {R"({"name":"a","count":1,"share":1.5})", result_code::out_of_range, "/share"},
        {R"({"name":"a","count":1,"on":0})", result_code::wrong_type, "/on"},
        {R"({"name":"a","count":1,"mode":"slow"})", result_code::invalid_value, "/mode"},
        {R"({"name":"a","count":1,"list":[]})", result_code::out_of_range, "/list"},
        {R"({"name":"a","count":1,"list":["a",5]})", result_code::wrong_type, "/list/1"},
        {R"({"name":"a","count":1,"count":1})", result_code::duplicate_key, "/count"},
        {R"({"name":"a","count":1,"list":[1,{"b":[],"b":2}]})", result_code::duplicate_key, "/list/1/b"},
        {R"({"name":"a","count":1,"address":"localhost:80"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"127.0.0.01:80"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"127.0.0.256:80"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"127.0.0.1:0"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"127.0.0.1:65536"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"127.0.0.1"})", result_code::invalid_value, "/address"},
        {R"({"name":"a","count":1,"address":"1.2.3.4.5:80"})", result_code::invalid_value, "/address"},
        {std::string(40, '['), result_code::invalid_value, ""},
        {std::string(maximumDocumentBytes + 1, ' '), result_code::table_too_large, ""},
    }));
    const auto failures = check(expected.document);
    INFO(expected.document.substr(0, 100));
    REQUIRE(failures.size() == 1);
    CHECK(failures[0].code == expected.code);
    CHECK(failures[0].pointer == expected.pointer);
    CHECK_FALSE(failures[0].reason.empty());
}

// Guards against checks that reject valid documents.
TEST_CASE("a valid document has no failures")
{
    CHECK(check(R"({"name":"a-1.b_c","count":10,"share":1,"on":true,"address":"127.0.0.1:65535","list":["abc"],"mode":"urgent"})").empty());
    CHECK(check(R"({"name":"A","count":1})").empty());
}

// Guards against a check that stops at the first error, so that an operator has to correct a table one error at a time.
TEST_CASE("several errors are reported at once")
{
    const auto failures = check(R"({"name":7,"share":-1,"on":1,"other":null})");
    std::vector<std::string> pointers;
    for (const failure &each : failures) {
        pointers.push_back(each.pointer);
    }
    CHECK(pointers == std::vector<std::string>{"/count", "/other", "/name", "/share", "/on"});
}

// Guards against an unbounded list of failures.
TEST_CASE("the number of failures is bounded")
{
    std::string document = R"({"name":"a","count":1)";
    for (int index = 0; index < 300; ++index) {
        document += ",\"x" + std::to_string(index) + "\":0";
    }
    CHECK(check(document + "}").size() == json_checker::maximumFailures);
}

// Guards against exceptions on malformed text, which would terminate the process.
TEST_CASE("the checker does not throw on any text")
{
    rc::prop("random text", [](const std::string &document) { RC_ASSERT_FALSE(check(document).empty()); });
    rc::prop("mutated documents", [](std::uint8_t replacement) {
        std::string document = R"({"name":"a","count":1,"list":["a",{"b":[1.5,null]}],"address":"127.0.0.1:80"})";
        document[*rc::gen::inRange<std::size_t>(0, document.size())] = static_cast<char>(replacement);
        check(document);
    });
}
