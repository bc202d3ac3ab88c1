# Shared rules: every library, program and test of the project is declared
# through these, so that warnings, sanitizers and layout are the same for all.

set(FOXTAILVALE_SANITIZE "" CACHE STRING "e.g. address,undefined or thread")

add_library(foxtailvale_options INTERFACE)
target_compile_options(foxtailvale_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror
    # Designated initializers leave the other members at their defaults.
    -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # GCC 12 reports std::string concatenation at -O3 for no reason (its bug
    # 105651), and a variant's unused members as uninitialized.
    target_compile_options(foxtailvale_options INTERFACE -Wno-restrict
        -Wno-maybe-uninitialized)
endif()
if(FOXTAILVALE_SANITIZE)
    target_compile_options(foxtailvale_options INTERFACE
        -fsanitize=${FOXTAILVALE_SANITIZE} -fno-omit-frame-pointer
        -fno-sanitize-recover=all)
    target_link_options(foxtailvale_options INTERFACE
        -fsanitize=${FOXTAILVALE_SANITIZE})
endif()

# Needs clang: cmake -DCMAKE_CXX_COMPILER=clang++ -DFOXTAILVALE_FUZZ=ON
option(FOXTAILVALE_FUZZ "Build the libFuzzer programs" OFF)
if(FOXTAILVALE_FUZZ)
    target_compile_options(foxtailvale_options INTERFACE
        -fsanitize=fuzzer-no-link)
    target_link_options(foxtailvale_options INTERFACE
        -fsanitize=fuzzer-no-link)
endif()

# foxtailvale_library(NAME SOURCES ... DEPENDS ...): libs/NAME with its public
# headers under include/NAME.
function(foxtailvale_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS}
        PRIVATE foxtailvale_options)
endfunction()

# foxtailvale_test(NAME SOURCES ... DEPENDS ...): one GoogleTest program, run
# by ctest.
function(foxtailvale_test name)
    if(NOT FOXTAILVALE_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;DEFINITIONS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_definitions(${name} PRIVATE ${ARG_DEFINITIONS})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/testing)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} foxtailvale_options
        GTest::gtest_main GTest::gmock)
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# A test of faults that KNOWN-RED.txt lists: built and linted with the others, run
# by `make test-known-red`, which does not fail on it.
function(foxtailvale_known_red_test name)
    foxtailvale_test(${name} ${ARGN})
    if(FOXTAILVALE_TESTS)
        set_tests_properties(${name} PROPERTIES LABELS known_red)
    endif()
endfunction()

# foxtailvale_program(NAME SOURCES ... DEPENDS ...): a program in build/bin.
function(foxtailvale_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_definitions(${name} PRIVATE
        FOXTAILVALE_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} foxtailvale_options)
endfunction()
