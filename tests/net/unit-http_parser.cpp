#include <catch2/catch.hpp>

#include "dogwoodport/net/http_parser.h"

namespace dogwoodport::net {
namespace {

constexpr const char* kHost = "Host: a.example\r\n";

struct BadRequest {
  const char* description;
  std::string bytes;
  int status;
};

std::string Get(const std::string& fields) {
  return "GET /x HTTP/1.1\r\n" + std::string(kHost) + fields + "\r\n";
}

TEST_CASE("requests with ambiguous framing or unsupported features are rejected", "[http_parser]") {
  const auto bad = GENERATE(values<BadRequest>({
      {"space before the colon", Get("Transfer-Encoding : chunked\r\n"), 400},
      {"both length and chunked coding", Get("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
       400},
      {"two lengths", Get("Content-Length: 3\r\nContent-Length: 4\r\n"), 400},
      {"a negative length", Get("Content-Length: -3\r\n"), 400},
      {"a signed length", Get("Content-Length: +3\r\n"), 400},
      {"unsupported transfer coding", Get("Transfer-Encoding: gzip, chunked\r\n"), 400},
      {"chunked coding in HTTP/1.0",
       "GET /x HTTP/1.0\r\n" + std::string(kHost) + "Transfer-Encoding: chunked\r\n\r\n", 400},
      {"a folded header line", Get("X-A: b\r\n c\r\n"), 400},
      {"a line folded by a tab", Get("X-A: b\r\n\tc\r\n"), 400},
      {"a NUL byte", Get(std::string("X-A: b\0c\r\n", 10)), 400},
      {"a bare line feed after the version", "GET /x HTTP/1.1\nHost: a\n\n", 505},
      {"a bare line feed", "GET /x HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400},
      {"no host", "GET /x HTTP/1.1\r\n\r\n", 400},
      {"two hosts", Get(kHost), 400},
      {"TRACE", "TRACE /x HTTP/1.1\r\nHost: a\r\n\r\n", 405},
      {"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405},
      {"a target that is not a path", "GET x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"HTTP/2.0", "GET /x HTTP/2.0\r\nHost: a\r\n\r\n", 505},
      {"a large header section", Get("X-A: " + std::string(1'000'000, 'a') + "\r\n"), 431},
      {"a large body", Get("Content-Length: 2000\r\n"), 413},
  }));
  INFO(bad.description);
  RequestParser parser(MessageLimits{16 * 1024, 1'000});
  parser.Put(bad.bytes);
  REQUIRE(parser.fault());
  CHECK(parser.fault()->status == bad.status);
}

TEST_CASE("a request is parsed whatever pieces it arrives in", "[http_parser]") {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: a.example:80\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
  const auto piece = GENERATE(range(1, 40));
  RequestParser parser(MessageLimits{});
  std::string buf;
  for (std::size_t at = 0; at < bytes.size(); at += static_cast<std::size_t>(piece)) {
    buf += bytes.substr(at, static_cast<std::size_t>(piece));
    buf.erase(0, parser.Put(buf));
    REQUIRE_FALSE(parser.fault());
  }
  REQUIRE(parser.complete());
  const HttpRequest request = parser.Take();
  CHECK(request.method == "POST");
  CHECK(request.target == "/a/b?c=d");
  CHECK(request.host == "a.example");
  CHECK(request.body == "abcde");
  CHECK(request.keep_alive);
}

TEST_CASE("bytes after a message are not consumed", "[http_parser]") {
  RequestParser parser(MessageLimits{});
  const std::string one = Get("");
  CHECK(parser.Put(one + one) == one.size());
  CHECK(parser.complete());
}

TEST_CASE("the host is taken from an absolute-form target", "[http_parser]") {
  RequestParser parser(MessageLimits{});
  parser.Put("GET http://b.example:8080/x?y HTTP/1.1\r\nHost: a.example\r\n\r\n");
  REQUIRE(parser.complete());
  REQUIRE_FALSE(parser.fault());
  const HttpRequest request = parser.Take();
  CHECK(request.host == "b.example");
  CHECK(request.target == "/x?y");
}

struct ResponseCase {
  const char* description;
  std::string bytes;
  bool closed;
  bool complete;
  bool failed;
};

TEST_CASE("only complete responses are accepted", "[http_parser]") {
  const auto test_case = GENERATE(values<ResponseCase>({
      {"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, true, false},
      {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true, false, true},
      {"ended by close", "HTTP/1.1 200 OK\r\n\r\nab", true, true, false},
      {"not closed yet", "HTTP/1.1 200 OK\r\n\r\nab", false, false, false},
      {"not an HTTP response", "hello\r\n\r\n", false, false, true},
      {"truncated header section", "HTTP/1.1 200 OK\r\nConte", true, false, true},
      {"truncated chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       true, false, true},
      {"unsupported transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", false,
       false, true},
  }));
  INFO(test_case.description);
  ResponseParser parser(MessageLimits{}, false);
  parser.Put(test_case.bytes);
  if (test_case.closed) parser.PutEof();
  CHECK(parser.complete() == test_case.complete);
  CHECK(parser.failed() == test_case.failed);
}

/// Bytes that never complete a message.
struct EndlessBytes {
  const char* description;
  std::string head;
  std::string repeated;
};

std::vector<EndlessBytes> EndlessFraming() {
  const std::string kib(1024, 'x');
  return {
      {"a chunk size of zeros", "", std::string(1024, '0')},
      {"a chunk extension", "5;", kib},
      {"a line after a chunk", "1\r\na", kib},
      {"a trailer line", "0\r\nX-A: ", kib},
      {"trailer fields", "0\r\n", "X-A: b\r\n"},
  };
}

/// Passes bytes to a parser as a connection does, until `ended` returns true or `max_bytes` have
/// been received. Returns the largest number of bytes that had to be kept.
template <typename Parser, typename Ended>
std::size_t FeedEndless(Parser& parser, const EndlessBytes& bytes, std::size_t max_bytes,
                        const Ended& ended) {
  std::string buf = bytes.head;
  std::size_t kept = 0;
  for (std::size_t n = 0; n < max_bytes && !ended(); n += bytes.repeated.size()) {
    buf += bytes.repeated;
    buf.erase(0, parser.Put(buf));
    kept = std::max(kept, buf.size());
  }
  return kept;
}

// Guards against the framing of a chunked body that a peer sends without end and that is kept.
TEST_CASE("endless framing of a chunked body is given up at the limit of the header section",
          "[http_parser][endless]") {
  constexpr std::size_t kLimit = std::size_t{16} * 1024;
  EndlessBytes bytes = GENERATE(from_range(EndlessFraming()));
  INFO(bytes.description);
  SECTION("in a response") {
    ResponseParser parser(MessageLimits{kLimit, 1'000'000, nullptr}, false);
    bytes.head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + bytes.head;
    const std::size_t kept =
        FeedEndless(parser, bytes, 16 * kLimit, [&] { return parser.failed(); });
    CHECK(parser.failed());
    CHECK(kept <= kLimit + bytes.repeated.size());
  }
  SECTION("in a request") {
    RequestParser parser(MessageLimits{kLimit, 1'000'000, nullptr});
    bytes.head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + bytes.head;
    const std::size_t kept =
        FeedEndless(parser, bytes, 16 * kLimit, [&] { return parser.fault().has_value(); });
    REQUIRE(parser.fault());
    CHECK(parser.fault()->status == 400);
    CHECK(kept <= kLimit + bytes.repeated.size());
  }
}

TEST_CASE("a response with very many header fields fails", "[http_parser][endless]") {
  const auto [count, fails] = GENERATE(table<int, bool>({{500, false}, {5'000, true}}));
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  for (int i = 0; i < count; ++i) head += "X: 1\r\n";
  ResponseParser parser(MessageLimits{64 * 1024, 1'000, nullptr}, false);
  parser.Put(head + "\r\n");
  CHECK(parser.failed() == fails);
  CHECK(parser.complete() != fails);
}

TEST_CASE("hop-by-hop fields are recognised", "[http_parser]") {
  CHECK(IsHopByHop("connection", ""));
  CHECK(IsHopByHop("Transfer-Encoding", ""));
  CHECK(IsHopByHop("X-Private", "close, x-private"));
  CHECK_FALSE(IsHopByHop("X-Public", "close, x-private"));
}

}  // namespace
}  // namespace dogwoodport::net
