add_library(dogwood_options INTERFACE)
target_compile_options(dogwood_options INTERFACE -Wall -Wextra -Werror -Wshadow -Wno-missing-field-initializers)
# GCC 12 reports overlapping copies in inlined concatenations of std::string that do not overlap (GCC bug 105651).
target_compile_options(dogwood_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
# The precompiled header is shared, so all targets need the definitions of the POCO targets; core links none of them.
target_compile_definitions(dogwood_options INTERFACE MSGPACK_NO_BOOST
  $<TARGET_PROPERTY:Poco::Foundation,INTERFACE_COMPILE_DEFINITIONS>
  $<TARGET_PROPERTY:Poco::Net,INTERFACE_COMPILE_DEFINITIONS>)

# A header-only target that shares one precompiled header with the heavy library headers.
add_library(dogwood_pch STATIC ${CMAKE_SOURCE_DIR}/cmake/pch.cc)
target_precompile_headers(dogwood_pch PRIVATE ${CMAKE_SOURCE_DIR}/cmake/pch.h)
target_link_libraries(dogwood_pch PRIVATE dogwood_options nlohmann_json::nlohmann_json Threads::Threads)
target_compile_options(dogwood_pch PRIVATE -fpch-preprocess)

function(dogwood_use_pch target)
  target_link_libraries(${target} PRIVATE nlohmann_json::nlohmann_json Threads::Threads)
  target_compile_options(${target} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-fpch-preprocess>)
  target_precompile_headers(${target} REUSE_FROM dogwood_pch)
endfunction()

# Defines the library of one package (in packages/<name> or DIR) and its test binary from tests/<name>/unit-*.cpp.
function(dogwood_package name)
  cmake_parse_arguments(arg "" "DIR" "DEPS;LIBS" ${ARGN})
  if(NOT arg_DIR)
    set(arg_DIR packages/${name})
  endif()
  set(target dogwood_${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${arg_DIR}/src/*.cc)
  if(NOT sources)
    set(sources ${CMAKE_SOURCE_DIR}/cmake/pch.cc)
  endif()
  add_library(${target} STATIC ${sources})
  set_target_properties(${target} PROPERTIES LINKER_LANGUAGE CXX)
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/${arg_DIR}/include)
  target_link_libraries(${target} PUBLIC dogwood_options Threads::Threads ${arg_LIBS})
  foreach(dep ${arg_DEPS})
    target_link_libraries(${target} PUBLIC dogwood_${dep})
  endforeach()
  dogwood_use_pch(${target})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/unit-*.cpp)
  if(tests AND NOT DOGWOOD_BINARIES_ONLY)
    add_executable(unit-${name} ${CMAKE_SOURCE_DIR}/tests/main.cpp ${tests})
    target_include_directories(unit-${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(unit-${name} PRIVATE ${target} dogwood_standin)
    # One ctest entry per file keeps failures readable and lets the files run in parallel.
    foreach(test ${tests})
      get_filename_component(topic ${test} NAME_WE)
      add_test(NAME ${name}/${topic} COMMAND unit-${name} --warn NoTests --filenames-as-tags [\#${topic}]
               WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
      set_tests_properties(${name}/${topic} PROPERTIES TIMEOUT 300)
    endforeach()
  endif()
endfunction()

# Defines a shipped binary from packages/<package>/main/*.cc.
function(dogwood_binary name dir package)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${dir}/*.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE dogwood_${package})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
