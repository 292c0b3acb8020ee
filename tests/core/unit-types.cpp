#include <catch2/catch.hpp>

#include "dogwoodport/core/error.h"
#include "dogwoodport/core/message.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

TEST_CASE("epochs") {
  SECTION("an epoch of a later delegation is greater, whatever the counters") {
    // Guards against a replaced coordinator whose high counter would pass the fencing check.
    CHECK(Epoch{2, 0} > Epoch{1, 999});
    CHECK(Epoch{2, 1} > Epoch{2, 0});
  }
  SECTION("the text form is that of the Dogwood-Epoch header") {
    CHECK(ToString(Epoch{7, 3}) == "7.3");
  }
}

TEST_CASE("nested errors are described from the outermost to the innermost") {
  try {
    try {
      throw Error("connection refused");
    } catch (const Error&) {
      std::throw_with_nested(Error("log service unreachable"));
    }
  } catch (const Error& e) {
    CHECK(DescribeNested(e) == "log service unreachable: connection refused");
  }
}

TEST_CASE("an outbox returns each message once") {
  Outbox out;
  out.Send(InstanceId::FromName("a"), Message{});
  CHECK(out.Take().size() == 1);
  CHECK(out.empty());
}

}  // namespace dogwoodport
