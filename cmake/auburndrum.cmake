# auburndrum_package(NAME SOURCES a.cpp ... LINKS target ...): one static library for a package.
function(auburndrum_package NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(auburndrum_${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(auburndrum_${NAME} PUBLIC ${ARG_LINKS})
endfunction()

# auburndrum_test(NAME SOURCES a_test.cpp ... LINKS target ...): one doctest program, known to ctest by NAME.
function(auburndrum_test NAME)
    cmake_parse_arguments(ARG "QT" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    if(ARG_QT)
        target_link_libraries(${NAME} PRIVATE auburndrum_qttestmain ${ARG_LINKS})
    else()
        target_link_libraries(${NAME} PRIVATE auburndrum_testmain ${ARG_LINKS})
    endif()
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()
