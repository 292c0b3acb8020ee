#pragma once

#include <variant>

namespace dogwoodport::detail {

/// Compile-time list of types; each subsystem lists its messages in one.
template <typename... Ts>
struct TypeList {};

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
