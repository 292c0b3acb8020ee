#pragma once

#include <variant>

namespace dogwoodport::detail {

/// Compile-time list of types. Each subsystem declares its message types as one.
template <typename... Ts>
struct TypeList {};

/// Concatenates type lists into one `std::variant`.
template <typename... Lists>
struct ConcatToVariant;

template <typename... Ts>
struct ConcatToVariant<TypeList<Ts...>> {
  using Type = std::variant<Ts...>;
};

template <typename... As, typename... Bs, typename... Rest>
struct ConcatToVariant<TypeList<As...>, TypeList<Bs...>, Rest...> {
  using Type = typename ConcatToVariant<TypeList<As..., Bs...>, Rest...>::Type;
};

}  // namespace dogwoodport::detail
