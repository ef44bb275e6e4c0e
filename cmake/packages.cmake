# A package is a directory below ragwortwinch/ with one library and, next to the code, its tests.
#
#     rw_package(lease DEPENDS base store LIBRARIES rt)
#
# builds the library rw_lease from all sources except *_test.cc and *_main.cc, and the test program lease_test from all
# *_test.cc. The test also links the packages in TEST_DEPENDS and runs with TEST_ARGUMENTS. Configuration fails if a
# source or header of the library includes a package that is not in DEPENDS, directly or transitively, or an internal
# header of another package.

function(rw_check_includes package files allowed)
    foreach(file IN LISTS files)
        file(STRINGS ${file} lines REGEX "^#include \"ragwortwinch/[a-z_]+/")
        foreach(line IN LISTS lines)
            string(REGEX REPLACE "^#include \"ragwortwinch/([a-z_]+)/.*" "\\1" used "${line}")
            if(NOT used STREQUAL package AND NOT used IN_LIST allowed)
                message(FATAL_ERROR "${file}: package ${package} includes package ${used}, which is not in its DEPENDS; add it there or remove the include")
            endif()
            if(NOT used STREQUAL package AND line MATCHES "/internal/")
                message(FATAL_ERROR "${file}: package ${package} includes an internal header of package ${used}; include a public header instead")
            endif()
        endforeach()
    endforeach()
endfunction()

function(rw_package package)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS;TEST_ARGUMENTS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${package}/*.cc)
    file(GLOB_RECURSE headers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${package}/*.h)
    set(tests ${sources})
    list(FILTER sources EXCLUDE REGEX "(_test|_main)\\.cc$")
    list(FILTER tests INCLUDE REGEX "_test\\.cc$")

    set(allowed ${ARG_DEPENDS})
    foreach(dependency IN LISTS ARG_DEPENDS)
        get_property(inherited GLOBAL PROPERTY RW_DEPENDS_${dependency})
        list(APPEND allowed ${inherited})
    endforeach()
    list(REMOVE_DUPLICATES allowed)
    set_property(GLOBAL PROPERTY RW_DEPENDS_${package} ${allowed})
    rw_check_includes(${package} "${sources};${headers}" "${allowed}")

    add_library(rw_${package} STATIC ${sources})
    list(TRANSFORM ARG_DEPENDS PREPEND rw_ OUTPUT_VARIABLE linked)
    target_link_libraries(rw_${package} PUBLIC ${linked} ${ARG_LIBRARIES} Threads::Threads)
    if(tests AND RAGWORTWINCH_TESTS)
        list(TRANSFORM ARG_TEST_DEPENDS PREPEND rw_ OUTPUT_VARIABLE test_linked)
        add_executable(${package}_test ${tests} ${CMAKE_SOURCE_DIR}/testing/doctest_main.cc)
        target_link_libraries(${package}_test PRIVATE rw_${package} ${test_linked})
        add_test(NAME ${package} COMMAND ${package}_test ${ARG_TEST_ARGUMENTS} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    endif()
endfunction()
